#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace tarragonhaven {

// Detects that the peer closes a connection while nothing is read from the connection, such as a caller that
// no longer waits for its response. Bytes that arrive stay in the socket and end the watch.
//
// The socket must outlive every pending wait, or be closed before it is destroyed. Only one watch can be
// active at a time.
class CloseWatch {
public:
    CloseWatch() = default;
    ~CloseWatch() { stop(); }
    CloseWatch(const CloseWatch&) = delete;
    CloseWatch& operator=(const CloseWatch&) = delete;

    // Calls `onClosed` once if the peer closes the connection before stop() is called.
    void start(boost::asio::ip::tcp::socket& socket, std::function<void()> onClosed)
    {
        m_state->onClosed = std::move(onClosed);
        if (std::exchange(m_state->waiting, true))
            return;
        socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
            [state = m_state, &socket](boost::system::error_code error) {
                state->waiting = false;
                if (error || !state->onClosed)
                    return;
                if (closedByPeer(socket))
                    std::exchange(state->onClosed, nullptr)();
            });
    }

    void stop() { m_state->onClosed = nullptr; }

private:
    struct State {
        std::function<void()> onClosed;
        bool waiting = false;
    };

    static bool closedByPeer(boost::asio::ip::tcp::socket& socket)
    {
        boost::system::error_code error;
        if (!socket.is_open())
            return false;
        socket.non_blocking(true, error);
        char byte = 0;
        const auto count
            = socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
        return error ? error != boost::asio::error::would_block : count == 0;
    }

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace tarragonhaven
