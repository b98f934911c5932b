// At most one token request per organisation is pending, to one data centre. Callers' requests that arrive
// meanwhile wait and share the next token request, so the number of token requests is bounded by the number
// of round trips, not by the number of callers' requests. The lifetime of tokens counts from the sending of
// the token request, so a late reply yields no tokens.

#include "tarragonhaven/token_cache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragonhaven {

namespace {

    // The time constant of the exponential moving average of the demand.
    constexpr util::Duration demandWindow = std::chrono::seconds(1);
    // Unused prefetched tokens are returned this long before they expire.
    constexpr util::Duration returnLeadTime = std::chrono::milliseconds(100);
    // The state of an organisation without requests for this long is removed.
    constexpr util::Duration idleAfter = std::chrono::seconds(10);
    // Below this demand per second, tokens are requested for waiting requests only, without prefetching.
    constexpr double minimumPrefetchRate = 5;
    // The delay given to refused callers if no owner has announced its next token.
    constexpr util::Duration defaultRetryAfter = std::chrono::seconds(1);

} // namespace

TokenCache::TokenCache(TokenCacheOptions options)
    : m_options(std::move(options))
{
}

void TokenCache::setDataCentres(std::vector<int> dataCentres)
{
    m_options.dataCentres = std::move(dataCentres);
}

void TokenCache::recordDemand(OrganisationState& state, util::Time now)
{
    const double passed = util::toSeconds(now - state.lastDemandAt) / util::toSeconds(demandWindow);
    state.demandPerSecond = state.demandPerSecond * std::exp(-passed) + 1 / util::toSeconds(demandWindow);
    state.lastDemandAt = now;
}

void TokenCache::acquire(const OrganisationName& organisation, std::uint64_t waiter, util::Time now)
{
    auto& state = m_organisations[organisation];
    recordDemand(state, now);
    state.waiting.push_back(waiter);
    serveFromBatches(organisation, state, now);
    requestTokensOrRefuse(organisation, state, now);
}

void TokenCache::cancel(const OrganisationName& organisation, std::uint64_t waiter)
{
    const auto found = m_organisations.find(organisation);
    if (found != m_organisations.end())
        std::erase(found->second.waiting, waiter);
}

void TokenCache::admitNext(OrganisationState& state)
{
    m_decisions.push_back({ state.waiting.front(), true, {} });
    state.waiting.pop_front();
}

void TokenCache::serveFromBatches(
    const OrganisationName& organisation, OrganisationState& state, util::Time now)
{
    expireBatches(organisation, state, now);
    while (!state.waiting.empty() && !state.batches.empty()) {
        auto& batch = state.batches.front();
        admitNext(state);
        if (--batch.count > 0)
            continue;
        m_tokenReturns.push_back({ batch.dataCentre, { organisation.text, batch.grantId, 0 } });
        state.batches.pop_front();
    }
}

// Returns batches that are about to expire to their owners, and drops expired ones.
void TokenCache::expireBatches(const OrganisationName& organisation, OrganisationState& state, util::Time now)
{
    std::erase_if(state.batches, [&](const Batch& batch) {
        if (now + returnLeadTime < batch.until)
            return false;
        if (now < batch.until)
            m_tokenReturns.push_back({ batch.dataCentre, { organisation.text, batch.grantId, batch.count } });
        return true;
    });
}

void TokenCache::requestTokensOrRefuse(
    const OrganisationName& organisation, OrganisationState& state, util::Time now)
{
    if (state.waiting.empty() || !state.pendingTokenRequests.empty())
        return;
    for (const int dataCentre : m_options.dataCentres) {
        const auto empty = state.emptyUntil.find(dataCentre);
        const auto unreachable = state.unreachableUntil.find(dataCentre);
        const bool isEmpty = empty != state.emptyUntil.end() && now < empty->second;
        const bool isUnreachable = unreachable != state.unreachableUntil.end() && now < unreachable->second;
        if (isEmpty || isUnreachable)
            continue;
        return requestTokens(organisation, state, dataCentre, now);
    }
    refuseWaiting(state, now);
}

void TokenCache::requestTokens(
    const OrganisationName& organisation, OrganisationState& state, int dataCentre, util::Time now)
{
    const double expected = state.demandPerSecond * util::toSeconds(m_options.prefetchHorizon);
    const bool prefetch = state.demandPerSecond >= minimumPrefetchRate;
    OutgoingTokenRequest outgoing;
    outgoing.dataCentre = dataCentre;
    outgoing.tokenRequest.requestId = ++m_lastRequestId;
    outgoing.tokenRequest.organisation = organisation.text;
    outgoing.tokenRequest.waiting = static_cast<int>(state.waiting.size());
    outgoing.tokenRequest.prefetch = prefetch ? static_cast<int>(std::ceil(expected)) : 0;
    state.pendingTokenRequests.push_back({ outgoing.tokenRequest.requestId, dataCentre, now });
    m_tokenRequests.push_back(std::move(outgoing));
}

// Refuses all waiting requests, unless an owner has announced that its next token comes within
// `maximumTokenWait` from now.
void TokenCache::refuseWaiting(OrganisationState& state, util::Time now)
{
    bool anyAnnounced = false;
    util::Duration soonest = defaultRetryAfter;
    for (const auto& [dataCentre, until] : state.emptyUntil) {
        if (now >= until)
            continue;
        soonest = anyAnnounced ? std::min<util::Duration>(soonest, until - now) : until - now;
        anyAnnounced = true;
    }
    if (anyAnnounced && soonest <= m_options.maximumTokenWait)
        return;
    const auto reason = anyAnnounced ? RefusalReason::RateExceeded : RefusalReason::LimitUnavailable;
    while (!state.waiting.empty()) {
        m_decisions.push_back(
            { state.waiting.front(), false, Refusal { reason, RunState::NotRun, soonest, "" } });
        state.waiting.pop_front();
    }
}

void TokenCache::removePendingTokenRequest(OrganisationState& state, std::uint64_t requestId)
{
    std::erase_if(state.pendingTokenRequests,
        [requestId](const PendingTokenRequest& pending) { return pending.requestId == requestId; });
}

void TokenCache::onGrant(const OrganisationName& organisation, const TokenGrant& grant, util::Time now)
{
    const auto found = m_organisations.find(organisation);
    if (found == m_organisations.end())
        return;
    auto& state = found->second;
    const auto pending = std::find_if(state.pendingTokenRequests.begin(), state.pendingTokenRequests.end(),
        [&grant](const PendingTokenRequest& item) { return item.requestId == grant.requestId; });
    if (pending == state.pendingTokenRequests.end())
        return;
    const auto sentAt = pending->sentAt;
    const int dataCentre = pending->dataCentre;
    removePendingTokenRequest(state, grant.requestId);
    if (!grant.owner) {
        state.unreachableUntil[dataCentre] = now + m_options.unreachableBackoff;
        return requestTokensOrRefuse(organisation, state, now);
    }
    state.unreachableUntil.erase(dataCentre);
    int immediate = now < sentAt + m_options.lifetimes.immediate ? grant.immediate : 0;
    for (; immediate > 0 && !state.waiting.empty(); --immediate)
        admitNext(state);
    if (grant.prefetched > 0 && now < sentAt + m_options.lifetimes.prefetched)
        state.batches.push_back(
            { dataCentre, grant.grantId, grant.prefetched, sentAt + m_options.lifetimes.prefetched });
    if (grant.nextTokenUs > 0)
        state.emptyUntil[dataCentre] = now + std::chrono::microseconds(grant.nextTokenUs);
    serveFromBatches(organisation, state, now);
    requestTokensOrRefuse(organisation, state, now);
}

void TokenCache::expireTokenRequests(OrganisationState& state, util::Time now)
{
    for (const auto& pending : state.pendingTokenRequests) {
        if (now - pending.sentAt >= m_options.tokenRequestTimeout)
            state.unreachableUntil[pending.dataCentre] = now + m_options.unreachableBackoff;
    }
    std::erase_if(state.pendingTokenRequests, [&](const PendingTokenRequest& pending) {
        return now - pending.sentAt >= m_options.tokenRequestTimeout;
    });
}

bool TokenCache::isIdle(const OrganisationState& state, util::Time now) const
{
    return state.batches.empty() && state.waiting.empty() && state.pendingTokenRequests.empty()
        && now - state.lastDemandAt > idleAfter;
}

void TokenCache::tick(util::Time now)
{
    for (auto item = m_organisations.begin(); item != m_organisations.end();) {
        auto& [organisation, state] = *item;
        expireTokenRequests(state, now);
        serveFromBatches(organisation, state, now);
        requestTokensOrRefuse(organisation, state, now);
        item = isIdle(state, now) ? m_organisations.erase(item) : std::next(item);
    }
}

std::vector<OutgoingTokenRequest> TokenCache::takeTokenRequests()
{
    return std::exchange(m_tokenRequests, {});
}

std::vector<OutgoingTokenReturn> TokenCache::takeTokenReturns() { return std::exchange(m_tokenReturns, {}); }

std::vector<TokenDecision> TokenCache::takeDecisions() { return std::exchange(m_decisions, {}); }

} // namespace tarragonhaven
