#pragma once

// Member functions of the template ControlCore. Any message may be lost, delayed or duplicated. Therefore
// grants and verdicts are matched by id to the request that they answer, end messages are resent until they
// are acknowledged, and times are only compared with times of this node's own clock.

#include "tarragonhaven/control_core.h"

#include <algorithm>

namespace tarragonhaven {

namespace control_detail {

    // The verdict of an IdempotencyVerdictMessage that acknowledges an IdempotencyEndMessage.
    inline constexpr int endAcknowledged = -1;
    // Number of ticks in which a stopping node sends a LeavingMessage to all peers; datagrams may be lost.
    inline constexpr int leavingRounds = 3;
    inline constexpr std::size_t tokenRequestsPerDatagram = 16;
    inline constexpr std::size_t returnsPerDatagram = 24;
    // A token request that is not answered within this time is treated as lost, and its owner is avoided for
    // `avoidUnresponsiveFor`. The token cache stops waiting earlier (TokenCacheOptions::tokenRequestTimeout).
    inline constexpr util::Duration tokenRequestTimeout = std::chrono::milliseconds(80);
    inline constexpr util::Duration avoidUnresponsiveFor = std::chrono::seconds(2);
    inline constexpr util::Duration avoidNotOwnerFor = std::chrono::milliseconds(400);
    inline constexpr util::Duration cleanupInterval = std::chrono::seconds(1);

    // Sends `items` in messages of at most `perDatagram` items each.
    template <typename Message, typename Items, typename Send>
    void sendInBatches(const Items& items, std::size_t perDatagram, Send send)
    {
        for (std::size_t at = 0; at < items.size(); at += perDatagram) {
            const auto end = std::min(items.size(), at + perDatagram);
            send(Message { { items.begin() + static_cast<std::ptrdiff_t>(at),
                items.begin() + static_cast<std::ptrdiff_t>(end) } });
        }
    }

} // namespace control_detail

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::apply(ConfigurationPointer configuration)
{
    if (configuration->revision() <= revision())
        return;
    m_configuration = std::move(configuration);
    m_map.apply(m_configuration->index());
    m_tracker.setGroup(m_map.groupOf(m_identity.self), m_clock.now());
    std::set<InstanceName> declared;
    for (const auto& instance : m_configuration->index().instances)
        declared.insert(instance.name);
    m_peers.keepOnly(declared);
    m_newerRevisionKnownSince.reset();
    updateFleetView(m_clock.now());
}

template <util::Clock ClockType, typename Random>
const Endpoint* ControlCore<ClockType, Random>::addressOf(const InstanceName& peer) const
{
    const auto* instance = m_configuration ? m_configuration->instance(peer) : nullptr;
    return instance ? &instance->peerAddress : nullptr;
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::receive(const Endpoint& source, const ControlEnvelope& envelope)
{
    if (envelope.fleet != m_identity.fleet || envelope.from == m_identity.self)
        return;
    m_peers.recordMessage(envelope.from, envelope.incarnation, m_clock.now());
    std::visit([&](const auto& message) { handle(source, envelope, message); }, envelope.message);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope& envelope, const PingMessage& ping)
{
    m_peers.recordState(envelope.from, ping.revision, ping.leaving);
    m_tracker.recordLeaving(envelope.from, ping.leaving, m_clock.now());
    recordPeerRevision(source, envelope.from, ping.revision);
    auto pong = m_tracker.answerPing(envelope.from, envelope.incarnation, ping, m_clock.now());
    if (!pong)
        return;
    pong->revision = revision();
    pong->leaving = m_stopping;
    send(source, std::move(*pong));
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope& envelope, const PongMessage& pong)
{
    m_peers.recordState(envelope.from, pong.revision, pong.leaving);
    recordPeerRevision(source, envelope.from, pong.revision);
    m_tracker.onPong(envelope.from, pong, m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::recordPeerRevision(
    const Endpoint& source, const InstanceName& peer, Revision peerRevision)
{
    if (peerRevision <= revision())
        return;
    if (!m_newerRevisionKnownSince)
        m_newerRevisionKnownSince = m_clock.now();
    // The source address is reported because a node without a configuration knows no other address of a peer.
    m_peerRevisions.push_back({ source, peer, peerRevision });
}

template <util::Clock ClockType, typename Random>
TokenGrant ControlCore<ClockType, Random>::decideGrant(const TokenRequest& tokenRequest)
{
    TokenGrant notOwner;
    notOwner.requestId = tokenRequest.requestId;
    const OrganisationName name { tokenRequest.organisation };
    const auto term = m_tracker.term(ownershipShardOf(name), m_clock.now());
    const auto* organisation = m_configuration ? m_configuration->organisation(name) : nullptr;
    const auto dataCentre = m_map.indexOf(m_identity.dataCentre);
    if (!term || !organisation || !dataCentre)
        return notOwner;
    return m_owner.grant(
        tokenRequest, shareOf(*organisation, *dataCentre, m_map.dataCentreCount()), *term, m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope&, const TokenRequestMessage& message)
{
    TokenGrantMessage reply;
    for (const auto& tokenRequest : message.requests)
        reply.grants.push_back(decideGrant(tokenRequest));
    send(source, std::move(reply));
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const TokenGrantMessage& message)
{
    for (const auto& grant : message.grants) {
        const auto pendingRequest = m_pendingTokenRequests.extract(grant.requestId);
        if (pendingRequest.empty())
            continue;
        const auto& pending = pendingRequest.mapped();
        if (!grant.owner)
            avoidOwner(
                pending.owner, ownershipShardOf(pending.organisation), control_detail::avoidNotOwnerFor);
        m_replies.push_back(TokenGrantReply { pending.organisation, grant });
    }
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const TokenReturnMessage& message)
{
    for (const auto& tokenReturn : message.returns)
        m_owner.settleReturn(tokenReturn, m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope&, const IdempotencyBeginMessage& message)
{
    const auto key = parseIdempotencyKey(message.key);
    RecordedVerdict recorded { IdempotencyVerdict::NotIssued, 0 };
    if (key)
        recorded = m_recorder.begin(
            *key, { message.organisation }, message.fingerprint, message.attempt, m_clock.now());
    send(source,
        IdempotencyVerdictMessage { message.attempt, static_cast<int>(recorded.verdict), recorded.status });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::applyEnd(const IdempotencyEndMessage& message)
{
    const auto key = parseIdempotencyKey(message.key);
    if (!key)
        return;
    if (message.outcome == static_cast<int>(IdempotencyOutcome::Completed))
        m_recorder.complete(*key, message.attempt, message.status);
    if (message.outcome == static_cast<int>(IdempotencyOutcome::NotRun))
        m_recorder.release(*key, message.attempt);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope&, const IdempotencyEndMessage& message)
{
    applyEnd(message);
    send(source, IdempotencyVerdictMessage { message.attempt, control_detail::endAcknowledged, 0 });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const IdempotencyVerdictMessage& message)
{
    if (message.verdict == control_detail::endAcknowledged) {
        m_pendingEnds.erase(message.attempt);
        return;
    }
    if (message.verdict < 0 || message.verdict >= idempotencyVerdictCount)
        return;
    if (m_pendingBegins.extract(message.attempt).empty())
        return;
    const auto verdict = static_cast<IdempotencyVerdict>(message.verdict);
    m_replies.push_back(IdempotencyReply { message.attempt, true, { verdict, message.status } });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope& envelope, const LeavingMessage&)
{
    const auto* known = m_peers.find(envelope.from);
    m_peers.recordState(envelope.from, known ? known->revision : 0, true);
    m_tracker.recordLeaving(envelope.from, true, m_clock.now());
    updateFleetView(m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::request(const ControlRequest& request)
{
    std::visit([&](const auto& item) { this->handleRequest(item); }, request);
}

// Returns the instance to request tokens of a shard from: the first in the shard's owner order that is not
// known to be stopping, to be unresponsive or not to own the shard. If there is none, returns the first in
// the order, or an empty name if the data centre has no ownership group.
template <util::Clock ClockType, typename Random>
InstanceName ControlCore<ClockType, Random>::selectOwner(int dataCentre, int shard)
{
    const auto now = m_clock.now();
    const auto candidates = m_map.candidates(static_cast<std::size_t>(dataCentre), shard);
    for (const auto& candidate : candidates) {
        const auto avoided = m_avoidedOwners.find({ candidate, shard });
        const bool isAvoided = avoided != m_avoidedOwners.end() && now < avoided->second;
        const auto* state = m_peers.find(candidate);
        const bool isLeaving = candidate == m_identity.self ? m_stopping : state && state->leaving;
        if (!isAvoided && !isLeaving)
            return candidate;
    }
    return candidates.empty() ? InstanceName {} : candidates.front();
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::avoidOwner(
    const InstanceName& instance, int shard, util::Duration duration)
{
    m_avoidedOwners[{ instance, shard }] = m_clock.now() + duration;
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::expireTokenRequests(util::Time now)
{
    for (const auto& [requestId, pending] : m_pendingTokenRequests) {
        if (now - pending.sentAt > control_detail::tokenRequestTimeout)
            avoidOwner(
                pending.owner, ownershipShardOf(pending.organisation), control_detail::avoidUnresponsiveFor);
    }
    std::erase_if(m_pendingTokenRequests,
        [now](const auto& item) { return now - item.second.sentAt > control_detail::tokenRequestTimeout; });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const FetchTokensRequest& request)
{
    const OrganisationName organisation { request.tokenRequest.organisation };
    const auto owner = selectOwner(request.dataCentre, ownershipShardOf(organisation));
    if (owner == m_identity.self) {
        const auto grant = decideGrant(request.tokenRequest);
        if (!grant.owner)
            avoidOwner(owner, ownershipShardOf(organisation), control_detail::avoidNotOwnerFor);
        m_replies.push_back(TokenGrantReply { organisation, grant });
        return;
    }
    const auto* address = addressOf(owner);
    if (!address) {
        m_replies.push_back(TokenGrantReply { organisation, TokenGrant { request.tokenRequest.requestId } });
        return;
    }
    m_pendingTokenRequests.insert_or_assign(
        request.tokenRequest.requestId, PendingTokenRequest { organisation, owner, m_clock.now() });
    m_tokenRequestBatches[*address].requests.push_back(request.tokenRequest);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const ReturnTokensRequest& request)
{
    // If the owner has changed since the grant, the new owner ignores the return, unless it has an
    // outstanding grant with the same number.
    const auto owner
        = selectOwner(request.dataCentre, ownershipShardOf({ request.tokenReturn.organisation }));
    if (owner == m_identity.self)
        return m_owner.settleReturn(request.tokenReturn, m_clock.now());
    if (const auto* address = addressOf(owner))
        m_tokenReturnBatches[*address].returns.push_back(request.tokenReturn);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const IdempotencyBeginRequest& request)
{
    const auto now = m_clock.now();
    const auto key = parseIdempotencyKey(request.key);
    const auto reply = [&](RecordedVerdict recorded) {
        m_replies.push_back(IdempotencyReply { request.attempt, true, recorded });
    };
    if (!key)
        return reply({ IdempotencyVerdict::NotIssued, 0 });
    if (key->issuer == m_identity.self)
        return reply(m_recorder.begin(*key, request.organisation, request.fingerprint, request.attempt, now));
    const auto* address = addressOf(key->issuer);
    if (!address)
        return reply({ IdempotencyVerdict::IssuerLost, 0 });
    IdempotencyBeginMessage message { request.attempt, request.key, request.organisation.text,
        request.fingerprint };
    send(*address, message);
    m_pendingBegins[request.attempt] = { *address, std::move(message),
        now + m_options.idempotencyResendInterval, now + m_options.idempotencyBeginTimeout };
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const IdempotencyEndRequest& request)
{
    const auto key = parseIdempotencyKey(request.key);
    if (!key)
        return;
    const IdempotencyEndMessage message { request.attempt, request.key, static_cast<int>(request.outcome),
        request.status };
    if (key->issuer == m_identity.self)
        return applyEnd(message);
    if (const auto* address = addressOf(key->issuer))
        sendEnd(*address, message);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::sendEnd(const Endpoint& to, const IdempotencyEndMessage& message)
{
    const auto now = m_clock.now();
    send(to, message);
    m_pendingEnds[message.attempt] = { to, message, now + 2 * m_options.idempotencyResendInterval,
        now + m_options.idempotencyEndTimeout };
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const TargetReportMessage& message)
{
    m_replies.push_back(TargetReportReceived { { message.target }, message.report });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const SendTargetReportRequest& request)
{
    for (const auto& entry : request.entries) {
        if (const auto* address = addressOf(entry))
            send(*address, TargetReportMessage { request.target.text, request.report });
    }
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const SendSuspectsRequest& request)
{
    if (!m_configuration)
        return;
    for (const auto& instance : m_configuration->index().instances) {
        const bool addressed = request.to.text.empty() || instance.name == request.to;
        if (addressed && instance.name != m_identity.self)
            send(instance.peerAddress, request.message);
    }
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handleRequest(const StopRequest&)
{
    m_stopping = true;
    m_leavingRoundsLeft = control_detail::leavingRounds;
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::ping(const InstanceName& peer, util::Time now)
{
    const auto* address = addressOf(peer);
    if (!address || peer == m_identity.self)
        return;
    m_peers.recordPing(peer, now);
    send(*address, PingMessage { now.time_since_epoch().count(), revision(), m_stopping });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::pingRound(util::Time now)
{
    if (!m_configuration) {
        for (const auto& seed : m_identity.seeds)
            send(seed, PingMessage { now.time_since_epoch().count(), 0, m_stopping });
        return;
    }
    const auto& membersToPing = m_tracker.membersToPing();
    for (const auto& member : membersToPing)
        ping(member, now);
    const auto& instances = m_configuration->index().instances;
    for (int i = 0; i < m_options.gossipPeers; ++i) {
        const auto at = std::uniform_int_distribution<std::size_t>(0, instances.size() - 1)(m_random);
        const auto& name = instances[at].name;
        if (std::find(membersToPing.begin(), membersToPing.end(), name) == membersToPing.end())
            ping(name, now);
    }
}

template <util::Clock ClockType, typename Random> void ControlCore<ClockType, Random>::tick()
{
    const auto now = m_clock.now();
    if (now >= m_nextPing) {
        m_nextPing = now + m_options.pingInterval;
        m_tracker.renewTerms(now);
        pingRound(now);
    }
    if (m_leavingRoundsLeft > 0 && m_configuration) {
        --m_leavingRoundsLeft;
        for (const auto& instance : m_configuration->index().instances) {
            if (instance.name != m_identity.self)
                send(instance.peerAddress, LeavingMessage {});
        }
    }
    resendIdempotencyMessages(now);
    expireTokenRequests(now);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + control_detail::cleanupInterval;
        m_owner.removeIdle(now);
        std::erase_if(m_avoidedOwners, [now](const auto& item) { return now >= item.second; });
    }
    updateFleetView(now);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::resendIdempotencyMessages(util::Time now)
{
    const auto resend = [&](PendingIdempotencyMessage& pending, util::Duration interval) {
        if (now < pending.nextSend)
            return;
        pending.nextSend = now + interval;
        send(pending.to, pending.message);
    };
    for (auto item = m_pendingBegins.begin(); item != m_pendingBegins.end();) {
        auto& [attempt, pending] = *item;
        if (now < pending.deadline) {
            resend(pending, m_options.idempotencyResendInterval);
            ++item;
            continue;
        }
        // The issuer may have allowed the attempt, but its reply was lost. The attempt is refused here and
        // will not run, so the issuer is asked to release the key.
        const auto key = std::get<IdempotencyBeginMessage>(pending.message).key;
        const int outcome = static_cast<int>(IdempotencyOutcome::NotRun);
        sendEnd(pending.to, IdempotencyEndMessage { attempt, key, outcome, 0 });
        m_replies.push_back(IdempotencyReply { attempt, false, {} });
        item = m_pendingBegins.erase(item);
    }
    for (auto& [attempt, pending] : m_pendingEnds)
        resend(pending, 2 * m_options.idempotencyResendInterval);
    std::erase_if(m_pendingEnds, [now](const auto& item) { return now >= item.second.deadline; });
}

template <util::Clock ClockType, typename Random>
bool ControlCore<ClockType, Random>::keysFresh(util::Time now) const
{
    const auto limit = m_options.keyFreshnessLimit;
    if (m_newerRevisionKnownSince && now - *m_newerRevisionKnownSince > limit)
        return false;
    if (m_platformConfirmedAt && now - *m_platformConfirmedAt <= limit)
        return true;
    const auto reach = m_peers.reachability(now, limit);
    // Without pinged peers only the platform can confirm freshness, unless this node is the only instance.
    if (reach.pinged == 0)
        return m_configuration && m_configuration->index().instances.size() <= 1;
    return reach.responded * 2 >= reach.pinged;
}

template <util::Clock ClockType, typename Random>
bool ControlCore<ClockType, Random>::mayServe(util::Time now) const
{
    if (!m_configuration)
        return false;
    if (m_servingAllowed)
        return true;
    if (now - m_startedAt >= m_options.startupWait)
        return true;
    if (m_newerRevisionKnownSince)
        return false;
    const auto reach = m_peers.reachability(now, m_options.startupWait);
    const std::size_t members = m_tracker.currentSet().members().size();
    return members <= 1 || (static_cast<std::size_t>(reach.responded) + 1) * 2 > members;
}

template <util::Clock ClockType, typename Random>
std::vector<int> ControlCore<ClockType, Random>::dataCentreOrder() const
{
    std::vector<int> order;
    const auto ownIndex = m_map.indexOf(m_identity.dataCentre);
    const int count = static_cast<int>(m_map.dataCentreCount());
    for (int i = 0; i < count; ++i)
        order.push_back((static_cast<int>(ownIndex.value_or(0)) + i) % count);
    return order;
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::updateFleetView(util::Time now)
{
    FleetView view;
    view.leaving = m_peers.leaving();
    view.keysFresh = keysFresh(now);
    view.mayServe = mayServe(now);
    view.dataCentreOrder = dataCentreOrder();
    m_servingAllowed = m_servingAllowed || view.mayServe;
    if (view == m_fleetView)
        return;
    m_fleetView = view;
    m_replies.push_back(std::move(view));
}

template <util::Clock ClockType, typename Random>
std::vector<ControlDatagram> ControlCore<ClockType, Random>::takeDatagrams()
{
    for (const auto& batch : std::exchange(m_tokenRequestBatches, {})) {
        control_detail::sendInBatches<TokenRequestMessage>(batch.second.requests,
            control_detail::tokenRequestsPerDatagram,
            [&](TokenRequestMessage message) { send(batch.first, std::move(message)); });
    }
    for (const auto& batch : std::exchange(m_tokenReturnBatches, {})) {
        control_detail::sendInBatches<TokenReturnMessage>(batch.second.returns,
            control_detail::returnsPerDatagram,
            [&](TokenReturnMessage message) { send(batch.first, std::move(message)); });
    }
    return std::exchange(m_datagrams, {});
}

} // namespace tarragonhaven
