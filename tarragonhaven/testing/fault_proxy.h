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
    bool holdForth = false;
    bool holdBack = false;
    // Resets new connections.
    bool refuse = false;
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

    void set(const ProxyFault& fault);
    // Resets every open connection.
    void resetAll();
    // Lets nothing more through on connections that are open now, without closing them.
    void silenceAll();

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
