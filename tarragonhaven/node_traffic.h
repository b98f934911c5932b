#pragma once

#include "tarragonhaven/caller_sessions.h"
#include "tarragonhaven/configuration_event.h"
#include "tarragonhaven/control_client.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/memory/heap_trimmer.h"
#include "tarragonhaven/memory/node_connection_limits.h"
#include "tarragonhaven/node_settings.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/peer_sessions.h"
#include "tarragonhaven/status_responder.h"
#include "tarragonhaven/traffic_thread.h"
#include "util/bounded_ring.h"

#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// The traffic thread of a node. It serves callers' connections, links from and to other nodes, and the
// targets of this instance. Configurations arrive through the configuration thread's ring.
class NodeTraffic : public PeerSessionHost {
public:
    struct Dependencies {
        const NodeSettings& settings;
        HelloFrame localHello;
        NodeState& state;
        LogChannel& log;
        util::BoundedRing<ConfigurationEvent>& configurationEvents;
        util::BoundedRing<ControlRequest>& controlRequests;
        util::BoundedRing<ControlReply>& controlReplies;
        // The secret that signs the idempotency keys of this incarnation.
        std::string idempotencySecret;
        NodeConnectionLimits connections;
        std::size_t memoryBoundBytes = 0;
    };

    explicit NodeTraffic(Dependencies dependencies);
    ~NodeTraffic() override;
    NodeTraffic(const NodeTraffic&) = delete;
    NodeTraffic& operator=(const NodeTraffic&) = delete;

    // Opens the listening sockets. Returns an error message, or an empty text on success.
    std::string open();
    void start();
    // Starts a planned stop: accepts no new connections, completes the requests in progress and closes idle
    // connections.
    void beginStop();
    // Ends the thread and closes all callers' connections.
    void stop();

    [[nodiscard]] util::BoundedRing<StatusRequest>& statusRequests() { return m_status.requests(); }
    [[nodiscard]] util::BoundedRing<StatusReply>& statusReplies() { return m_status.replies(); }

    Guard& guard() override { return m_guard; }
    ValueFrame value(const std::string& name) override;
    void peerDisconnected(const std::string& peer, const std::string& why) override;

private:
    void handleEvent(ConfigurationEvent event);
    void handleReply(const ControlReply& reply);
    void handleSuspects(const SuspectsReceived& received);
    // Sends a message about suspects to a node, or to all if none is named.
    void sendSuspects(ControlMessage message, const InstanceName& to);
    void querySuspects();
    void updateReadiness();
    void onTick();
    void advanceStop();
    [[nodiscard]] TrafficSources sources() const;
    void updateLeavingInstances();

    Dependencies m_dependencies;
    // Declared before m_thread, because handlers that are pending when the thread ends may still update it.
    TrafficMetrics m_metrics;
    TrafficThread m_thread;
    Guard m_guard;
    PeerPool m_peers;
    ControlClient m_control;
    Entry m_entry;
    CallerSessions m_callers;
    HeapTrimmer m_heapTrimmer;
    PeerSessions m_peerSessions;
    StatusResponder m_status;
    std::set<InstanceName> m_listedLeavingInstances;
    FleetView m_fleetView;
    unsigned long m_ticks = 0;
    bool m_suspectsQueried = false;
    bool m_stopping = false;
    util::Time m_stopStartedAt {};
};

} // namespace tarragonhaven
