#pragma once

#include "tarragonhaven/configuration_event.h"
#include "tarragonhaven/control_core.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/datagram_socket.h"
#include "tarragonhaven/log_channel.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <string>
#include <thread>

namespace tarragonhaven {

// Runs a ControlCore on a thread of its own. Sends and receives the datagrams of the core over UDP, on the
// port number on which the node also accepts peers' TCP connections, and connects the core to the traffic and
// configuration threads through rings.
class ControlThread {
public:
    using Core = ControlCore<util::SystemClock, std::mt19937_64>;
    struct Dependencies {
        Endpoint address;
        NodeIdentity identity;
        LogChannel& log;
        util::BoundedRing<ConfigurationEvent>& configurationEvents;
        util::BoundedRing<PeerRevision>& peerRevisions;
    };

    explicit ControlThread(Dependencies dependencies);
    ~ControlThread();
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    // Opens the socket. Returns an empty string on success, and the reason otherwise.
    std::string open();
    void start();
    void stop();

    [[nodiscard]] util::BoundedRing<ControlRequest>& requests() { return m_requests; }
    [[nodiscard]] util::BoundedRing<ControlReply>& replies() { return m_replies; }

private:
    void runTick();
    void handleEvent(const ConfigurationEvent& event);
    void logFleetView(const FleetView& view);
    // Sends the datagrams of the core and passes its replies and peer revisions on to the other threads.
    void flush();

    Dependencies m_dependencies;
    boost::asio::io_context m_io;
    util::SystemClock m_clock;
    Core m_core;
    DatagramSocket m_socket;
    boost::asio::steady_timer m_tickTimer;
    util::BoundedRing<ControlRequest> m_requests;
    util::BoundedRing<ControlReply> m_replies;
    std::thread m_thread;
};

} // namespace tarragonhaven
