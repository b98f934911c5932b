#pragma once

#include "tarragonhaven/caller_sessions.h"
#include "tarragonhaven/configuration_event.h"
#include "tarragonhaven/control_client.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/node_settings.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/peer_set.h"
#include "tarragonhaven/status_desk.h"
#include "tarragonhaven/traffic_thread.h"
#include "util/bounded_ring.h"

#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// The thread that carries traffic: callers' connections, links from and to other nodes, and the targets of
// this instance. It takes configurations from the configuration thread's ring.
class NodeTraffic : public PeerSessionHost {
public:
    struct Dependencies {
        const NodeSettings& settings;
        HelloFrame hello;
        NodeState& state;
        LogChannel& log;
        util::BoundedRing<ConfigurationEvent>& configurationEvents;
        util::BoundedRing<ControlRequest>& controlRequests;
        util::BoundedRing<ControlReply>& controlReplies;
        // The secret of this incarnation's idempotency keys.
        std::string idempotencySecret;
    };

    explicit NodeTraffic(Dependencies dependencies);
    ~NodeTraffic() override;
    NodeTraffic(const NodeTraffic&) = delete;
    NodeTraffic& operator=(const NodeTraffic&) = delete;

    // Opens the listening sockets. Returns an empty text, or why that failed.
    std::string open();
    void start();
    // Begins a planned stop: no new connections, requests under way finish, idle connections close.
    void beginStop();
    // Ends the thread.
    void stop();

    [[nodiscard]] util::BoundedRing<StatusRequest>& statusRequests() { return m_status.requests(); }
    [[nodiscard]] util::BoundedRing<StatusReply>& statusReplies() { return m_status.replies(); }

    Guard& guard() override { return m_guard; }
    ValueFrame value(const std::string& name) override;
    void peerDisconnected(const std::string& peer, const std::string& why) override;

private:
    void handleEvent(ConfigurationEvent event);
    void handleReply(const ControlReply& reply);
    void updateReadiness();
    void onTick();
    void advanceStop();
    [[nodiscard]] TrafficSources sources() const;
    void markLeaving();

    Dependencies m_dependencies;
    // Handlers that wait when the thread has ended may still count.
    TrafficMetrics m_metrics;
    TrafficThread m_thread;
    Guard m_guard;
    PeerPool m_peers;
    ControlClient m_control;
    Entry m_entry;
    CallerSessions m_callers;
    PeerSet m_peerSessions;
    StatusDesk m_status;
    std::set<InstanceName> m_listedLeaving;
    FleetView m_fleetView;
    unsigned long m_ticks = 0;
    bool m_stopping = false;
    util::Time m_stopStartedAt {};
};

} // namespace tarragonhaven
