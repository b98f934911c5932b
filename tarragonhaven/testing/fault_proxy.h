#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/listener.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace tarragonhaven::testing {

// The faults that a proxy applies. Delays and stalls hold bytes back but never lose them while the connection
// is open.
struct ProxyFault {
    // The delay of each chunk of up to 16 KiB, in both directions.
    std::chrono::milliseconds delay {};
    // Whether to stop forwarding bytes to the server, and to the client.
    bool stallToServer = false;
    bool stallToClient = false;
    // Whether to reset new connections as soon as they are accepted.
    bool resetNewConnections = false;
};

// A TCP proxy between two parts of a system under test, whose faults can be changed while it runs. Must be
// used only on the thread of its io_context once that runs.
class FaultProxy {
public:
    // Listens on `listen` and forwards connections to `forward`. Throws std::runtime_error if it cannot
    // listen.
    FaultProxy(boost::asio::io_context& io, const Endpoint& listen, Endpoint forward);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    void setFault(const ProxyFault& fault);
    // Resets every open connection.
    void resetOpenConnections();
    // Stops forwarding on all connections that are open now, in both directions and for good, without closing
    // them. New connections are not affected.
    void stallOpenConnections();

private:
    class Session;
    friend class Session;

    boost::asio::io_context& m_io;
    Endpoint m_forward;
    ProxyFault m_fault;
    std::set<std::shared_ptr<Session>> m_sessions;
    Listener m_listener;
};

} // namespace tarragonhaven::testing
