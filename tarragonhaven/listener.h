#pragma once

#include "tarragonhaven/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace tarragonhaven {

// Accepts TCP connections and passes each socket to the handler. Continues after failures to accept, and
// after pauses that an AcceptPolicy demands.
class Listener {
public:
    using SocketHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Decides whether connections are accepted now.
    class AcceptPolicy {
    public:
        // Asked before each connection is accepted, and several times a second during a pause.
        virtual bool mayAccept() = 0;
        virtual void onAcceptFailed(const std::string& reason) = 0;

    protected:
        ~AcceptPolicy() = default;
    };

    // Accepts all connections if `policy` is null; otherwise it must outlive the listener.
    Listener(boost::asio::io_context& io, SocketHandler handler, AcceptPolicy* policy = nullptr);
    // Binds to the endpoint and starts to accept. Returns an empty text, or an error message on failure.
    std::string open(const Endpoint& endpoint);
    void close();

private:
    void acceptNext();
    void acceptLater();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::io_context& m_io;
    SocketHandler m_handler;
    AcceptPolicy* m_policy;
};

} // namespace tarragonhaven
