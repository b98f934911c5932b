#pragma once

#include "tarragonhaven/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace tarragonhaven {

// Accepts TCP connections and passes each socket to the handler. Continues after failures to accept.
class Listener {
public:
    using SocketHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(boost::asio::io_context& io, SocketHandler handler);
    // Binds to the endpoint and starts to accept. Returns an empty text, or an error message on failure.
    std::string open(const Endpoint& endpoint);
    void close();

private:
    void acceptNext();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::io_context& m_io;
    SocketHandler m_handler;
};

} // namespace tarragonhaven
