#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/listener.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace tarragonhaven::testing {

// What a proxy does to the connections through it. Bytes are held up, never lost, as long as a connection
// lasts.
struct ProxyFault {
    std::chrono::milliseconds delay {};
    // Holds up what goes to the server, or what comes back.
    bool stallToServer = false;
    bool stallToClient = false;
    // Resets new connections.
    bool resetNewConnections = false;
};

// A proxy on loopback between two parts of a system, with faults that are set while it runs. All of it
// belongs to the thread of its io_context.
class FaultProxy {
public:
    // Throws when it cannot listen.
    FaultProxy(boost::asio::io_context& io, const Endpoint& listen, Endpoint forward);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    void setFault(const ProxyFault& fault);
    // Resets every open connection.
    void resetOpenConnections();
    // Lets nothing more through on connections that are open now, without closing them.
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
