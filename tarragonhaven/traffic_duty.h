#pragma once

#include "tarragonhaven/caller_set.h"
#include "tarragonhaven/configuration_event.h"
#include "tarragonhaven/control_client.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/node_settings.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/peer_set.h"
#include "tarragonhaven/status_request.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace tarragonhaven {

// The thread that carries traffic: callers' connections, links from and to other nodes, and the targets of
// this instance. It takes configurations from the configuration thread's ring.
class TrafficDuty : public PeerHost {
public:
    struct Parts {
        const NodeSettings& settings;
        HelloFrame hello;
        NodeState& state;
        LogChannel& log;
        util::BoundedRing<ConfigurationEvent>& configurationEvents;
        util::BoundedRing<ControlRequest>& controlRequests;
        util::BoundedRing<ControlReply>& controlReplies;
        // The secret of this incarnation's idempotency keys.
        std::string identitySecret;
    };

    explicit TrafficDuty(Parts parts);
    ~TrafficDuty() override;
    TrafficDuty(const TrafficDuty&) = delete;
    TrafficDuty& operator=(const TrafficDuty&) = delete;

    // Opens the listening sockets. Returns an empty text, or why that failed.
    std::string open();
    void start();
    // Begins a planned stop: no new connections, requests under way finish, idle connections close.
    void beginStop();
    // Ends the thread.
    void stop();

    [[nodiscard]] util::BoundedRing<StatusRequest>& statusRequests() { return m_statusRequests; }
    [[nodiscard]] util::BoundedRing<StatusReply>& statusReplies() { return m_statusReplies; }

    Guard& guard() override { return m_guard; }
    ValueFrame value(const std::string& name) override;
    void peerEnded(const std::string& peer, const std::string& why) override;

private:
    void handleEvent(ConfigurationEvent event);
    void handleReply(const ControlReply& reply);
    void updateReadiness();
    void everyTick();
    void drainTick();
    void answerStatus(const StatusRequest& request);
    void markLeaving();

    Parts m_parts;
    boost::asio::io_context m_io;
    Guard m_guard;
    PeerPool m_peers;
    TrafficMetrics m_metrics;
    ControlClient m_control;
    Entry m_entry;
    CallerSet m_callers;
    PeerSet m_peerSessions;
    boost::asio::steady_timer m_tickTimer;
    util::BoundedRing<StatusRequest> m_statusRequests;
    util::BoundedRing<StatusReply> m_statusReplies;
    std::set<InstanceName> m_listedLeaving;
    FleetView m_view;
    unsigned long m_ticks = 0;
    bool m_stopping = false;
    util::Time m_stopBegan {};
    std::thread m_thread;
};

} // namespace tarragonhaven
