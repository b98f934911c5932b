#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/peer_frame.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace tarragonhaven {

// A TCP connection between two nodes that carries frames. It checks the hello of the other side and closes on
// bytes that are no frame. One read and one write may be under way at a time. Handlers run on the thread of
// the io_context; after close() none runs.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using CompletionHandler = std::function<void(bool)>;
    // Gets nothing when the link has failed or ended.
    using FrameHandler = std::function<void(std::optional<PeerFrame>)>;

    PeerLink(boost::asio::io_context& io, HelloFrame localHello);
    // Bytes that the other end does not acknowledge for this long end the link, as do probes of an idle one.
    static constexpr util::Duration unresponsiveTimeout = std::chrono::seconds(3);
    // A link over a socket that was accepted.
    PeerLink(boost::asio::ip::tcp::socket socket, HelloFrame localHello);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    // Connects, sends the hello and checks the answer.
    void connect(const Endpoint& endpoint, util::Duration timeout, CompletionHandler done);
    // Waits for the hello of the side that connected and answers it.
    void accept(util::Duration timeout, CompletionHandler done);
    void write(const PeerFrame& frame, CompletionHandler done);
    // Waits for the next frame for at most `timeout`.
    void read(util::Duration timeout, FrameHandler handler);
    void close();
    // Calls `onClosed` if the other end closes the link before stopWatch(), while nothing is read from it.
    void watchClose(std::function<void()> onClosed);
    void stopWatch();

    // Whether an idle link is still open and silent.
    [[nodiscard]] bool isReusable();
    // Who is at the other end; set once the hello was checked.
    [[nodiscard]] const HelloFrame& peerHello() const;
    // Why the link failed, for the log.
    [[nodiscard]] const std::string& error() const;

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
