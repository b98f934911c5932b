#pragma once

// The bodies of ControlCore. Every message may be lost, late or doubled: grants and verdicts are matched to
// what is under way by id, ends are sent until they are answered, and times are compared on this node's clock
// alone.

#include "tarragonhaven/control_core.h"

#include <algorithm>

namespace tarragonhaven {

namespace control_detail {

    inline constexpr int acknowledged = -1;
    inline constexpr int leavingRounds = 3;
    inline constexpr std::size_t asksPerDatagram = 16;
    inline constexpr std::size_t returnsPerDatagram = 24;
    // An ask that is not answered within this time is taken for lost.
    inline constexpr util::Duration askTimeout = std::chrono::milliseconds(80);
    inline constexpr util::Duration avoidSilent = std::chrono::seconds(2);
    inline constexpr util::Duration avoidNotOwner = std::chrono::milliseconds(400);
    inline constexpr util::Duration forgetInterval = std::chrono::seconds(1);

    // Sends a batch's items in datagrams of at most `perDatagram`.
    template <typename Message, typename Items, typename Send>
    void sendInParts(const Items& items, std::size_t perDatagram, Send send)
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
    m_newerKnownSince.reset();
    updateView(m_clock.now());
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
    const Endpoint& source, const ControlEnvelope& from, const PingMessage& ping)
{
    m_peers.recordState(from.from, ping.revision, ping.leaving);
    m_tracker.noteLeaving(from.from, ping.leaving, m_clock.now());
    learnRevision(source, from.from, ping.revision);
    auto pong = m_tracker.answer(from.from, from.incarnation, ping, m_clock.now());
    if (!pong)
        return;
    pong->revision = revision();
    pong->leaving = m_stopping;
    send(source, std::move(*pong));
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope& from, const PongMessage& pong)
{
    m_peers.recordState(from.from, pong.revision, pong.leaving);
    learnRevision(source, from.from, pong.revision);
    m_tracker.notePong(from.from, pong, m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::learnRevision(
    const Endpoint& source, const InstanceName& peer, Revision peerRevision)
{
    if (peerRevision <= revision())
        return;
    if (!m_newerKnownSince)
        m_newerKnownSince = m_clock.now();
    // A node without a configuration knows its peers by where their datagrams come from alone.
    m_peerRevisions.push_back({ source, peer, peerRevision });
}

template <util::Clock ClockType, typename Random>
TokenGrant ControlCore<ClockType, Random>::decideAsk(const TokenAsk& ask)
{
    TokenGrant refused;
    refused.askId = ask.askId;
    const OrganisationName name { ask.organisation };
    const auto term = m_tracker.term(ownershipShardOf(name), m_clock.now());
    const auto* organisation = m_configuration ? m_configuration->organisation(name) : nullptr;
    const auto place = m_map.indexOf(m_identity.dataCentre);
    if (!term || !organisation || !place)
        return refused;
    return m_owner.grant(ask, shareOf(*organisation, *place, m_map.dataCentres()), *term, m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope&, const TokenAskMessage& message)
{
    TokenGrantMessage answer;
    for (const auto& ask : message.asks)
        answer.grants.push_back(decideAsk(ask));
    send(source, std::move(answer));
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const TokenGrantMessage& message)
{
    for (const auto& grant : message.grants) {
        const auto asked = m_asks.extract(grant.askId);
        if (asked.empty())
            continue;
        const auto& pending = asked.mapped();
        if (!grant.owner)
            avoid(pending.owner, ownershipShardOf(pending.organisation), control_detail::avoidNotOwner);
        m_replies.push_back(RateAnswer { pending.organisation, grant });
    }
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const TokenReturnMessage& message)
{
    for (const auto& settled : message.returns)
        m_owner.settle(settled, m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope&, const IdentityBeginMessage& message)
{
    const auto key = parseIdentityKey(message.key);
    RecordedVerdict recorded { IdentityVerdict::NotIssued, 0 };
    if (key)
        recorded = m_recorder.begin(
            *key, { message.organisation }, message.purpose, message.attempt, m_clock.now());
    send(source,
        IdentityVerdictMessage { message.attempt, static_cast<int>(recorded.verdict), recorded.status });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::applyEnd(const IdentityEndMessage& message)
{
    const auto key = parseIdentityKey(message.key);
    if (!key)
        return;
    if (message.outcome == static_cast<int>(IdentityOutcome::Completed))
        m_recorder.complete(*key, message.attempt, message.status);
    if (message.outcome == static_cast<int>(IdentityOutcome::NotRun))
        m_recorder.release(*key, message.attempt);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint& source, const ControlEnvelope&, const IdentityEndMessage& message)
{
    applyEnd(message);
    send(source, IdentityVerdictMessage { message.attempt, control_detail::acknowledged, 0 });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const IdentityVerdictMessage& message)
{
    if (message.verdict == control_detail::acknowledged) {
        m_ends.erase(message.attempt);
        return;
    }
    if (message.verdict < 0 || message.verdict >= identityVerdictCount)
        return;
    if (m_begins.extract(message.attempt).empty())
        return;
    const auto verdict = static_cast<IdentityVerdict>(message.verdict);
    m_replies.push_back(IdentityAnswer { message.attempt, true, { verdict, message.status } });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope& from, const LeavingMessage&)
{
    const auto* known = m_peers.find(from.from);
    m_peers.recordState(from.from, known ? known->revision : 0, true);
    m_tracker.noteLeaving(from.from, true, m_clock.now());
    updateView(m_clock.now());
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::request(const ControlRequest& request)
{
    std::visit([&](const auto& item) { this->take(item); }, request);
}

// Whom to ask for tokens of a shard: the first in the shard's order who is not known to leave, to be silent
// or not to own it.
template <util::Clock ClockType, typename Random>
InstanceName ControlCore<ClockType, Random>::ownerToAsk(int dataCentre, int shard)
{
    const auto now = m_clock.now();
    const auto candidates = m_map.candidates(static_cast<std::size_t>(dataCentre), shard);
    for (const auto& candidate : candidates) {
        const auto avoided = m_avoided.find({ candidate, shard });
        const bool avoids = avoided != m_avoided.end() && now < avoided->second;
        const auto* state = m_peers.find(candidate);
        const bool leaves = candidate == m_identity.self ? m_stopping : state && state->leaving;
        if (!avoids && !leaves)
            return candidate;
    }
    return candidates.empty() ? InstanceName {} : candidates.front();
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::avoid(const InstanceName& instance, int shard, util::Duration time)
{
    m_avoided[{ instance, shard }] = m_clock.now() + time;
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::expireAsks(util::Time now)
{
    for (const auto& [askId, pending] : m_asks) {
        if (now - pending.sentAt > control_detail::askTimeout)
            avoid(pending.owner, ownershipShardOf(pending.organisation), control_detail::avoidSilent);
    }
    std::erase_if(
        m_asks, [now](const auto& item) { return now - item.second.sentAt > control_detail::askTimeout; });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::take(const RateAskRequest& request)
{
    const OrganisationName organisation { request.ask.organisation };
    const auto owner = ownerToAsk(request.dataCentre, ownershipShardOf(organisation));
    if (owner == m_identity.self) {
        const auto grant = decideAsk(request.ask);
        if (!grant.owner)
            avoid(owner, ownershipShardOf(organisation), control_detail::avoidNotOwner);
        m_replies.push_back(RateAnswer { organisation, grant });
        return;
    }
    const auto* address = addressOf(owner);
    if (!address) {
        m_replies.push_back(RateAnswer { organisation, TokenGrant { request.ask.askId } });
        return;
    }
    m_asks.insert_or_assign(request.ask.askId, PendingAsk { organisation, owner, m_clock.now() });
    m_askBatches[*address].asks.push_back(request.ask);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::take(const RateReturnRequest& request)
{
    // An owner that has changed meanwhile knows nothing of the grant and ignores this.
    const auto owner = ownerToAsk(request.dataCentre, ownershipShardOf({ request.settled.organisation }));
    if (owner == m_identity.self)
        return m_owner.settle(request.settled, m_clock.now());
    if (const auto* address = addressOf(owner))
        m_returnBatches[*address].returns.push_back(request.settled);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::take(const IdentityBeginRequest& request)
{
    const auto now = m_clock.now();
    const auto key = parseIdentityKey(request.key);
    const auto answer = [&](RecordedVerdict recorded) {
        m_replies.push_back(IdentityAnswer { request.attempt, true, recorded });
    };
    if (!key)
        return answer({ IdentityVerdict::NotIssued, 0 });
    if (key->issuer == m_identity.self)
        return answer(m_recorder.begin(*key, request.organisation, request.purpose, request.attempt, now));
    const auto* address = addressOf(key->issuer);
    if (!address)
        return answer({ IdentityVerdict::IssuerLost, 0 });
    IdentityBeginMessage message { request.attempt, request.key, request.organisation.text, request.purpose };
    send(*address, message);
    m_begins[request.attempt] = { *address, std::move(message), now + m_options.identityResend,
        now + m_options.identityBeginTimeout };
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::take(const IdentityEndRequest& request)
{
    const auto key = parseIdentityKey(request.key);
    if (!key)
        return;
    const IdentityEndMessage message { request.attempt, request.key, static_cast<int>(request.outcome),
        request.status };
    if (key->issuer == m_identity.self)
        return applyEnd(message);
    if (const auto* address = addressOf(key->issuer))
        sendEnd(*address, message);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::sendEnd(const Endpoint& to, const IdentityEndMessage& message)
{
    const auto now = m_clock.now();
    send(to, message);
    m_ends[message.attempt]
        = { to, message, now + 2 * m_options.identityResend, now + m_options.identityEndTimeout };
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::handle(
    const Endpoint&, const ControlEnvelope&, const TargetReportMessage& message)
{
    m_replies.push_back(TargetTold { { message.target }, message.report });
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::take(const TellReportRequest& request)
{
    for (const auto& entry : request.entries) {
        if (const auto* address = addressOf(entry))
            send(*address, TargetReportMessage { request.target.text, request.report });
    }
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::take(const StopRequest&)
{
    m_stopping = true;
    m_leavingRounds = control_detail::leavingRounds;
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
    const auto& electorate = m_tracker.electorate();
    for (const auto& member : electorate)
        ping(member, now);
    const auto& instances = m_configuration->index().instances;
    for (int i = 0; i < m_options.gossipPeers; ++i) {
        const auto at = std::uniform_int_distribution<std::size_t>(0, instances.size() - 1)(m_random);
        const auto& name = instances[at].name;
        if (std::find(electorate.begin(), electorate.end(), name) == electorate.end())
            ping(name, now);
    }
}

template <util::Clock ClockType, typename Random> void ControlCore<ClockType, Random>::tick()
{
    const auto now = m_clock.now();
    if (now >= m_nextPing) {
        m_nextPing = now + m_options.pingInterval;
        m_tracker.renew(now);
        pingRound(now);
    }
    if (m_leavingRounds > 0 && m_configuration) {
        --m_leavingRounds;
        for (const auto& instance : m_configuration->index().instances) {
            if (instance.name != m_identity.self)
                send(instance.peerAddress, LeavingMessage {});
        }
    }
    resendIdentities(now);
    expireAsks(now);
    if (now >= m_nextForget) {
        m_nextForget = now + control_detail::forgetInterval;
        m_owner.forgetIdle(now);
        std::erase_if(m_avoided, [now](const auto& item) { return now >= item.second; });
    }
    updateView(now);
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::resendIdentities(util::Time now)
{
    const auto resend = [&](PendingIdentity& pending, util::Duration interval) {
        if (now < pending.nextSend)
            return;
        pending.nextSend = now + interval;
        send(pending.to, pending.message);
    };
    for (auto item = m_begins.begin(); item != m_begins.end();) {
        auto& [attempt, pending] = *item;
        if (now < pending.deadline) {
            resend(pending, m_options.identityResend);
            ++item;
            continue;
        }
        // The issuer may have let the attempt run; as it will not, the key is set free again.
        const auto key = std::get<IdentityBeginMessage>(pending.message).key;
        const int outcome = static_cast<int>(IdentityOutcome::NotRun);
        sendEnd(pending.to, IdentityEndMessage { attempt, key, outcome, 0 });
        m_replies.push_back(IdentityAnswer { attempt, false, {} });
        item = m_begins.erase(item);
    }
    for (auto& [attempt, pending] : m_ends)
        resend(pending, 2 * m_options.identityResend);
    std::erase_if(m_ends, [now](const auto& item) { return now >= item.second.deadline; });
}

template <util::Clock ClockType, typename Random>
bool ControlCore<ClockType, Random>::keysFresh(util::Time now) const
{
    const auto limit = m_options.keysFreshFor;
    if (m_newerKnownSince && now - *m_newerKnownSince > limit)
        return false;
    if (m_platformConfirmed && now - *m_platformConfirmed <= limit)
        return true;
    const auto reach = m_peers.reachability(now, limit);
    // A node that has pinged nobody yet, or has no peers, goes by the platform alone.
    if (reach.pinged == 0)
        return m_configuration && m_configuration->index().instances.size() <= 1;
    return reach.responded * 2 >= reach.pinged;
}

template <util::Clock ClockType, typename Random>
bool ControlCore<ClockType, Random>::mayServe(util::Time now) const
{
    if (!m_configuration)
        return false;
    if (m_served)
        return true;
    if (now - m_started >= m_options.startWait)
        return true;
    if (m_newerKnownSince)
        return false;
    const auto reach = m_peers.reachability(now, m_options.startWait);
    const std::size_t members = m_tracker.current().members().size();
    return members <= 1 || (static_cast<std::size_t>(reach.responded) + 1) * 2 > members;
}

template <util::Clock ClockType, typename Random>
std::vector<int> ControlCore<ClockType, Random>::dataCentreOrder() const
{
    std::vector<int> order;
    const auto own = m_map.indexOf(m_identity.dataCentre);
    const int count = static_cast<int>(m_map.dataCentres());
    for (int i = 0; i < count; ++i)
        order.push_back((static_cast<int>(own.value_or(0)) + i) % count);
    return order;
}

template <util::Clock ClockType, typename Random>
void ControlCore<ClockType, Random>::updateView(util::Time now)
{
    FleetView view;
    view.leaving = m_peers.leaving();
    view.keysFresh = keysFresh(now);
    view.mayServe = mayServe(now);
    view.dataCentreOrder = dataCentreOrder();
    m_served = m_served || view.mayServe;
    if (view == m_view)
        return;
    m_view = view;
    m_replies.push_back(std::move(view));
}

template <util::Clock ClockType, typename Random>
std::vector<ControlDatagram> ControlCore<ClockType, Random>::takeDatagrams()
{
    for (const auto& batch : std::exchange(m_askBatches, {})) {
        control_detail::sendInParts<TokenAskMessage>(batch.second.asks, control_detail::asksPerDatagram,
            [&](TokenAskMessage part) { send(batch.first, std::move(part)); });
    }
    for (const auto& batch : std::exchange(m_returnBatches, {})) {
        control_detail::sendInParts<TokenReturnMessage>(batch.second.returns,
            control_detail::returnsPerDatagram,
            [&](TokenReturnMessage part) { send(batch.first, std::move(part)); });
    }
    return std::exchange(m_datagrams, {});
}

} // namespace tarragonhaven
