#pragma once

#include "tarragonhaven/caller_sessions.h"
#include "tarragonhaven/datagram_socket.h"
#include "tarragonhaven/discovery_event.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/evacuation/evacuation_announcer.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/memory/heap_trimmer.h"
#include "tarragonhaven/memory/node_connection_limits.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/peer_sessions.h"
#include "tarragonhaven/quota_admission.h"
#include "tarragonhaven/sidecar_settings.h"
#include "tarragonhaven/status_responder.h"
#include "tarragonhaven/traffic_thread.h"
#include "util/bounded_ring.h"

#include <map>
#include <string>

namespace tarragonhaven {

// The traffic thread of a sidecar node. It serves callers' connections, links from and to other nodes and the
// target beside the node, and exchanges the datagrams that enforce organisations' limits. Declarations and
// the directory of targets arrive through the discovery thread's ring.
class SidecarTraffic : public PeerSessionHost {
public:
    struct Dependencies {
        const SidecarSettings& settings;
        HelloFrame localHello;
        NodeState& state;
        LogChannel& log;
        util::BoundedRing<DiscoveryEvent>& events;
        const DiscoveryCounters& counters;
        HeaderNames headerNames;
        NodeConnectionLimits connections;
        std::size_t memoryBoundBytes = 0;
    };

    explicit SidecarTraffic(Dependencies dependencies);
    ~SidecarTraffic() override;
    SidecarTraffic(const SidecarTraffic&) = delete;
    SidecarTraffic& operator=(const SidecarTraffic&) = delete;

    // Opens the listening sockets. Returns an error message, or an empty text on success.
    std::string open();
    void start();
    // Starts a planned stop. The node keeps serving callers and guarding its target until callers have had
    // time to notice the stop, so that the target is unreachable only for a short time. After that it only
    // completes the requests in progress.
    void beginStop();
    // Ends the thread and closes all callers' connections.
    void stop();

    [[nodiscard]] util::BoundedRing<StatusRequest>& statusRequests() { return m_status.requests(); }
    [[nodiscard]] util::BoundedRing<StatusReply>& statusReplies() { return m_status.replies(); }

    Guard& guard() override { return m_guard; }
    ValueFrame value(const std::string& name) override;
    void peerDisconnected(const std::string& peer, const std::string& why) override;

private:
    void handleEvent(DiscoveryEvent event);
    void handleDatagram(const Endpoint& source, const ControlEnvelope& envelope);
    void applyConfigurationAndDirectory();
    // Reports targets that have ceased to serve, or serve again, to their guards.
    void sendTargetStates(const Directory& before, const Directory& after);
    void recordPeerState(const InstanceName& from, const TargetStateMessage& state);
    // Informs guards of evacuated data centres, and records what a peer reports of them.
    void sendEvacuations();
    void recordPeerEvacuation(const InstanceName& from, const EvacuationMessage& message);
    void sendTargetReports();
    // Exchanges with other nodes what is known of requests that crash targets.
    void sendSuspects();
    void handleSuspects(const Endpoint& source, const ControlEnvelope& envelope);
    void querySuspects();
    void logBreakerChanges();
    void logColdChanges();
    // Logs the regions in the declarations that no data centre belongs to.
    void logUnknownRegions();
    void logAttempt(const AttemptRecord& attempt);
    [[nodiscard]] GuardOptions guardOptions();
    [[nodiscard]] std::map<ServiceName, ColdStartPolicy> coldStartPolicies() const;
    void onTick();
    void advanceStop();
    [[nodiscard]] TrafficSources sources() const;

    Dependencies m_dependencies;
    // Declared before m_thread, because handlers that are pending when the thread ends may still update it.
    TrafficMetrics m_metrics;
    TrafficThread m_thread;
    Guard m_guard;
    PeerPool m_peers;
    DatagramSocket m_socket;
    QuotaAdmission m_admission;
    Entry m_entry;
    EvacuationAnnouncer m_evacuations;
    CallerSessions m_callers;
    HeapTrimmer m_heapTrimmer;
    PeerSessions m_peerSessions;
    StatusResponder m_status;
    ConfigurationPointer m_configuration;
    DirectoryPointer m_directory;
    unsigned long m_ticks = 0;
    bool m_suspectsQueried = false;
    bool m_stopping = false;
    bool m_refusingRequests = false;
    bool m_requestsAborted = false;
    util::Time m_stopStartedAt {};
};

} // namespace tarragonhaven
