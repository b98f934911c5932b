#pragma once

#include "tarragonhaven/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

namespace tarragonhaven::testing {

// Sends `beginning` and then `repeated` on one connection until the peer closes it, and ignores what it
// receives. Use it only on the thread of its io_context.
class EndlessSender {
public:
    EndlessSender(boost::asio::io_context& io, std::string beginning, std::string repeated);
    EndlessSender(const EndlessSender&) = delete;
    EndlessSender& operator=(const EndlessSender&) = delete;

    // Accepts one connection. Returns the address to connect to.
    Endpoint listen();
    // Connects to a server.
    void connect(const Endpoint& server);

    [[nodiscard]] std::size_t sentBytes() const { return m_sentBytes; }
    // Returns whether the peer has closed the connection.
    [[nodiscard]] bool ended() const { return m_ended; }

private:
    void send();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_pending;
    std::string m_repeated;
    std::size_t m_sentBytes = 0;
    bool m_ended = false;
};

} // namespace tarragonhaven::testing
