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

// Who a control core works for.
struct NodeIdentity {
    std::string fleet;
    InstanceName self;
    DataCentreName dataCentre;
    std::uint64_t incarnation = 0;
    // The secret of this incarnation's idempotency keys.
    std::string idempotencySecret;
    // Where to look for peers before there is a configuration.
    std::vector<Endpoint> seeds;
};

struct ControlOptions {
    OwnershipOptions ownership;
    TokenLifetimes lifetimes;
    RecorderOptions recorder;
    util::Duration pingInterval = std::chrono::milliseconds(400);
    // How many peers outside the group are pinged in each round, chosen at random.
    int gossipPeers = 2;
    // How long keys are accepted without word from the platform or most peers.
    util::Duration keyFreshnessLimit = std::chrono::seconds(8);
    // How long a starting node waits to hear of newer configurations than its own.
    util::Duration startupWait = std::chrono::seconds(3);
    util::Duration idempotencyResendInterval = std::chrono::milliseconds(50);
    util::Duration idempotencyBeginTimeout = std::chrono::milliseconds(400);
    util::Duration idempotencyEndTimeout = std::chrono::seconds(5);
};

// The decisions of a node's control thread, without sockets or threads: what comes in are messages, requests
// of the traffic thread, configurations and the passing of time; what goes out are messages and replies. The
// clock and the random source are parameters, so that tests drive many cores under a clock of their own.
//
// It owns shares of organisations' rates (ownership_tracker.h, rate_owner.h), records the idempotency keys
// that this incarnation issued (identity_recorder.h), and keeps track of peers: which revisions they hold,
// which leave, and whether enough are heard to trust that no withdrawal of a key was missed.
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
    // Moves on by time. Call it every few milliseconds.
    void tick();

    std::vector<ControlDatagram> takeDatagrams();
    std::vector<ControlReply> takeReplies() { return std::exchange(m_replies, {}); }
    std::vector<PeerRevision> takePeerRevisions() { return std::exchange(m_peerRevisions, {}); }

    // Whether this node may act as owner of the organisation's share now.
    bool owns(const OrganisationName& organisation)
    {
        return m_tracker.term(ownershipShardOf(organisation), m_clock.now()).has_value();
    }
    [[nodiscard]] const ConfigurationPointer& configuration() const { return m_configuration; }
    [[nodiscard]] const PeerTable& peers() const { return m_peers; }
    [[nodiscard]] const FleetView& view() const { return m_view; }
    [[nodiscard]] std::size_t bucketCount() const { return m_owner.size(); }
    [[nodiscard]] std::size_t recordCount() const { return m_recorder.size(); }

private:
    // A message to an issuer that is sent until it is answered.
    struct PendingIdempotencyMessage {
        Endpoint to;
        ControlMessage message;
        util::Time nextSend {};
        util::Time deadline {};
    };

    void handle(const Endpoint& source, const ControlEnvelope& from, const PingMessage& ping);
    void handle(const Endpoint& source, const ControlEnvelope& from, const PongMessage& pong);
    void handle(const Endpoint& source, const ControlEnvelope& from, const TokenRequestMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& from, const TokenGrantMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& from, const TokenReturnMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& from, const IdempotencyBeginMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& from, const IdempotencyEndMessage& message);
    void handle(
        const Endpoint& source, const ControlEnvelope& from, const IdempotencyVerdictMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& from, const LeavingMessage& message);
    void handle(const Endpoint& source, const ControlEnvelope& from, const TargetReportMessage& message);
    // Messages of nodes that discover their targets; they are of no use here.
    void handle(const Endpoint&, const ControlEnvelope&, const QuotaReportMessage&) { }
    void handle(const Endpoint&, const ControlEnvelope&, const RemoteQuotaUsageMessage&) { }
    void handle(const Endpoint&, const ControlEnvelope&, const QuotaQueryMessage&) { }

    void handleRequest(std::monostate) { }
    void handleRequest(const FetchTokensRequest& request);
    void handleRequest(const ReturnTokensRequest& request);
    void handleRequest(const IdempotencyBeginRequest& request);
    void handleRequest(const IdempotencyEndRequest& request);
    void handleRequest(const SendTargetReportRequest& request);
    void handleRequest(const StopRequest& request);

    // An ask of this node that is under way.
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
    void updateView(util::Time now);
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
    std::optional<util::Time> m_newerKnownSince;
    bool m_hasServed = false;
    bool m_stopping = false;
    int m_leavingRoundsLeft = 0;
    std::map<std::uint64_t, PendingTokenRequest> m_pendingTokenRequests;
    // Instances that are not asked for a shard before the time given, since they did not answer or do not own
    // it.
    std::map<std::pair<InstanceName, int>, util::Time> m_avoidedOwners;
    std::map<std::uint64_t, PendingIdempotencyMessage> m_pendingBegins;
    std::map<std::uint64_t, PendingIdempotencyMessage> m_pendingEnds;
    std::map<Endpoint, TokenRequestMessage> m_tokenRequestBatches;
    std::map<Endpoint, TokenReturnMessage> m_tokenReturnBatches;
    std::vector<ControlDatagram> m_datagrams;
    std::vector<ControlReply> m_replies;
    std::vector<PeerRevision> m_peerRevisions;
    FleetView m_view;
};

} // namespace tarragonhaven

#include "tarragonhaven/control_core_impl.h"
