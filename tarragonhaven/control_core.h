#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/configuration_event.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/idempotency_recorder.h"
#include "tarragonhaven/ownership_map.h"
#include "tarragonhaven/ownership_tracker.h"
#include "tarragonhaven/peer_table.h"
#include "tarragonhaven/rate_owner.h"
#include "util/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace tarragonhaven {

// The node that a control core runs on.
struct NodeIdentity {
    std::string fleet;
    InstanceName self;
    DataCentreName dataCentre;
    std::uint64_t incarnation = 0;
    // The secret that authenticates the idempotency keys of this incarnation.
    std::string idempotencySecret;
    // Addresses of peers that are pinged until the node has a configuration.
    std::vector<Endpoint> seeds;
};

struct ControlOptions {
    OwnershipOptions ownership;
    TokenLifetimes lifetimes;
    RecorderOptions recorder;
    util::Duration pingInterval = std::chrono::milliseconds(400);
    // Number of randomly chosen peers outside the ownership group that are pinged in each round.
    int gossipPeers = 2;
    // How long API keys count as fresh without contact with the platform or with at least half of the pinged
    // peers, and after a peer has reported a newer revision that this node does not have.
    util::Duration keyFreshnessLimit = std::chrono::seconds(8);
    // How long a starting node waits for peers to report a newer configuration before it serves requests.
    util::Duration startupWait = std::chrono::seconds(3);
    util::Duration idempotencyResendInterval = std::chrono::milliseconds(50);
    util::Duration idempotencyBeginTimeout = std::chrono::milliseconds(400);
    util::Duration idempotencyEndTimeout = std::chrono::seconds(5);
};

// The logic of a node's control thread, without sockets and threads. Inputs are messages of peers, requests
// of the traffic thread, configurations and the current time; outputs are messages to peers, replies to the
// traffic thread and the revisions that peers hold. The clock and the random source are template parameters,
// so that tests can run many cores under a simulated clock.
//
// A core acts as owner of shares of organisations' rates (ownership_tracker.h, rate_owner.h), records the use
// of the idempotency keys that this incarnation issued (idempotency_recorder.h), and tracks peers: which
// revisions they hold, which of them are stopping, and whether enough of them were heard from to rule out
// that this node missed the revocation of an API key.
//
// Not thread-safe.
template <util::Clock ClockType, typename Random> class ControlCore {
public:
    ControlCore(NodeIdentity identity, const ClockType& clock, Random random, ControlOptions options = {})
        : m_identity(std::move(identity))
        , m_clock(clock)
        , m_random(std::move(random))
        , m_options(options)
        , m_startedAt(clock.now())
        , m_tracker(m_identity.self, m_identity.incarnation, clock.now(), options.ownership)
        , m_owner(options.lifetimes)
        , m_recorder(m_identity.self, m_identity.incarnation, m_identity.idempotencySecret, options.recorder)
        , m_nextPing(clock.now())
    {
    }

    void apply(ConfigurationPointer configuration);
    void onPlatformConfirmed(util::Time at) { m_platformConfirmedAt = at; }
    void receive(const Endpoint& source, const ControlEnvelope& envelope);
    void request(const ControlRequest& request);
    // Sends the pings and resends that are due, and applies timeouts. Call this every few milliseconds.
    void tick();

    std::vector<ControlDatagram> takeDatagrams();
    std::vector<ControlReply> takeReplies() { return std::exchange(m_replies, {}); }
    std::vector<PeerRevision> takePeerRevisions() { return std::exchange(m_peerRevisions, {}); }

    // Returns whether this node may now act as owner of the organisation's share.
    bool owns(const OrganisationName& organisation)
    {
        return m_tracker.term(ownershipShardOf(organisation), m_clock.now()).has_value();
    }
    [[nodiscard]] const ConfigurationPointer& configuration() const { return m_configuration; }
    [[nodiscard]] const PeerTable& peers() const { return m_peers; }
    [[nodiscard]] const FleetView& fleetView() const { return m_fleetView; }
    [[nodiscard]] std::size_t bucketCount() const { return m_owner.size(); }
    [[nodiscard]] std::size_t recordCount() const { return m_recorder.size(); }

private:
    // A message to a key issuer that is resent until it is answered or its deadline passes.
    struct PendingIdempotencyMessage {
        Endpoint to;
        ControlMessage message;
        util::Time nextSend {};
        util::Time deadline {};
    };

    void handle(const Endpoint& source, const ControlEnvelope& envelope, const PingMessage& ping);
    void handle(const Endpoint& source, const ControlEnvelope& envelope, const PongMessage& pong);
    void handle(const Endpoint& source, const ControlEnvelope& envelope, const TokenRequestMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& envelope, const TokenGrantMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& envelope, const TokenReturnMessage& message);
    void handle(
        const Endpoint& source, const ControlEnvelope& envelope, const IdempotencyBeginMessage& message);
    void handle(
        const Endpoint& source, const ControlEnvelope& envelope, const IdempotencyEndMessage& message);
    void handle(
        const Endpoint& source, const ControlEnvelope& envelope, const IdempotencyVerdictMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& envelope, const LeavingMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& envelope, const TargetReportMessage& message);
    template <SuspectMessage Message>
    void handle(const Endpoint&, const ControlEnvelope& envelope, const Message& message)
    {
        m_replies.push_back(SuspectsReceived { envelope.from, message });
    }
    // Ignored: only nodes that discover their targets exchange these messages, and they run no ControlCore.
    void handle(const Endpoint&, const ControlEnvelope&, const QuotaReportMessage&) { }
    void handle(const Endpoint&, const ControlEnvelope&, const RemoteQuotaUsageMessage&) { }
    void handle(const Endpoint&, const ControlEnvelope&, const QuotaQueryMessage&) { }
    void handle(const Endpoint&, const ControlEnvelope&, const TargetStateMessage&) { }
    void handle(const Endpoint&, const ControlEnvelope&, const EvacuationMessage&) { }

    void handleRequest(std::monostate) { }
    void handleRequest(const FetchTokensRequest& request);
    void handleRequest(const ReturnTokensRequest& request);
    void handleRequest(const IdempotencyBeginRequest& request);
    void handleRequest(const IdempotencyEndRequest& request);
    void handleRequest(const SendTargetReportRequest& request);
    void handleRequest(const SendSuspectsRequest& request);
    void handleRequest(const StopRequest& request);

    // A token request of this node that has not been answered yet.
    struct PendingTokenRequest {
        OrganisationName organisation;
        InstanceName owner;
        util::Time sentAt {};
    };

    TokenGrant decideGrant(const TokenRequest& tokenRequest);
    [[nodiscard]] InstanceName selectOwner(int dataCentre, int shard);
    void avoidOwner(const InstanceName& instance, int shard, util::Duration duration);
    void expireTokenRequests(util::Time now);
    void applyEnd(const IdempotencyEndMessage& message);
    void recordPeerRevision(const Endpoint& source, const InstanceName& peer, Revision revision);
    void pingRound(util::Time now);
    void ping(const InstanceName& peer, util::Time now);
    void resendIdempotencyMessages(util::Time now);
    void updateFleetView(util::Time now);
    [[nodiscard]] bool keysFresh(util::Time now) const;
    [[nodiscard]] bool mayServe(util::Time now) const;
    [[nodiscard]] std::vector<int> dataCentreOrder() const;
    [[nodiscard]] const Endpoint* addressOf(const InstanceName& peer) const;
    [[nodiscard]] Revision revision() const { return m_configuration ? m_configuration->revision() : 0; }
    void send(const Endpoint& to, ControlMessage message)
    {
        m_datagrams.push_back({ to, std::move(message) });
    }
    void sendEnd(const Endpoint& to, const IdempotencyEndMessage& message);

    NodeIdentity m_identity;
    const ClockType& m_clock;
    Random m_random;
    ControlOptions m_options;
    util::Time m_startedAt;
    ConfigurationPointer m_configuration;
    OwnershipMap m_map;
    OwnershipTracker m_tracker;
    RateOwner m_owner;
    IdempotencyRecorder m_recorder;
    PeerTable m_peers;
    util::Time m_nextPing;
    util::Time m_nextCleanup {};
    std::optional<util::Time> m_platformConfirmedAt;
    // When a peer first reported a newer revision than this node's; nullopt if none did.
    std::optional<util::Time> m_newerRevisionKnownSince;
    // Whether mayServe() was ever true; it stays true then.
    bool m_servingAllowed = false;
    bool m_stopping = false;
    int m_leavingRoundsLeft = 0;
    std::map<std::uint64_t, PendingTokenRequest> m_pendingTokenRequests;
    // Instances that get no token requests for a shard before the given time, because they did not answer or
    // do not own the shard.
    std::map<std::pair<InstanceName, int>, util::Time> m_avoidedOwners;
    std::map<std::uint64_t, PendingIdempotencyMessage> m_pendingBegins;
    std::map<std::uint64_t, PendingIdempotencyMessage> m_pendingEnds;
    std::map<Endpoint, TokenRequestMessage> m_tokenRequestBatches;
    std::map<Endpoint, TokenReturnMessage> m_tokenReturnBatches;
    std::vector<ControlDatagram> m_datagrams;
    std::vector<ControlReply> m_replies;
    std::vector<PeerRevision> m_peerRevisions;
    FleetView m_fleetView;
};

} // namespace tarragonhaven

#include "tarragonhaven/control_core_impl.h"
