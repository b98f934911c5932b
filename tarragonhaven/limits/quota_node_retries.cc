// The limits on retries: the part of QuotaNode that is not common to both kinds of limits.
//
// While little of a limit is used, a node takes retries by what it knows of the others. Beyond that it asks
// the aggregator, which counts what it grants at once, so that the sum does not depend on what nodes
// estimate.

#include "tarragonhaven/limits/quota_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragonhaven {

namespace {

    // The share of the retry limit that is used. The rest covers retries that wait in a queue before they
    // reach a target, so that those of a longer time arrive within the window.
    constexpr double usableRetryShare = 0.96;
    // SlidingWindowCounter covers up to a step more than the window.
    constexpr double countedWindowShare = 20.0 / 21;
    // From this share of the limit on, nodes that have ceased to report are queried. They may be cut off, so
    // a part of the limit is kept for them until they reply.
    constexpr double nearLimitShare = 0.4;
    // How long a retry waits for the aggregator's reply.
    constexpr util::Duration grantTimeout = std::chrono::milliseconds(150);
    // How long a node refuses further retries after the aggregator has denied one. Bounds its questions while
    // the limit is used up.
    constexpr util::Duration exhaustedPeriod = std::chrono::milliseconds(50);
    // How long a retry that was given back can be used instead of another one. It still counts in the window,
    // from the time at which it was first taken, so the window may be exceeded by what it moves by in this
    // time.
    constexpr util::Duration returnedRetryLifetime = std::chrono::milliseconds(500);

} // namespace

void QuotaNode::recordFirstAttempt(const std::string& service, util::Time now)
{
    stateOf(QuotaKind::Retries).quota.recordRequested(service, now);
}

void QuotaNode::recordNestedRepeat(const std::string& service, util::Time now)
{
    stateOf(QuotaKind::Retries).quota.recordUnlimited(service, now);
}

void QuotaNode::returnRetry(const std::string& service, util::Time now)
{
    m_returnedRetries[service].push_back(now);
}

bool QuotaNode::takeReturnedRetry(const std::string& service, util::Time now)
{
    const auto found = m_returnedRetries.find(service);
    if (found == m_returnedRetries.end())
        return false;
    auto& returned = found->second;
    std::erase_if(returned, [now](util::Time time) { return now - time > returnedRetryLifetime; });
    const bool available = !returned.empty();
    if (available)
        returned.pop_back();
    if (returned.empty())
        m_returnedRetries.erase(found);
    return available;
}

QuotaLimit QuotaNode::retryLimit(const std::string& service, util::Time now)
{
    auto& quota = stateOf(QuotaKind::Retries).quota;
    const auto& policy = m_settings.policy;
    const double share = countedWindowShare * policy.retryShare;
    const double nodes = std::max<double>(1, static_cast<double>(m_nodes.size()));
    // A recently started node does not know what the nodes took before. Alone it has no aggregator that does.
    const double known = m_nodes.size() <= 1
        ? 1
        : std::min(1.0, util::toSeconds(now - m_settings.started) / util::toSeconds(policy.retryWindow));
    const double isolated
        = known * (share * quota.localRequested(service, now) + known * policy.retrySlack / nodes);
    return { usableRetryShare * (share * quota.fleetRequested(service, now) + policy.retrySlack),
        usableRetryShare * isolated };
}

void QuotaNode::countRetry(const std::string& service, const QuotaDecision& decision)
{
    auto& counts = m_retryCounts[service];
    ++(decision.admitted ? counts.granted : counts.denied);
    counts.remaining = decision.limit - decision.local - decision.remote;
}

bool QuotaNode::tryAcquireRetry(const std::string& service, double share, util::Time now)
{
    if (takeReturnedRetry(service, now))
        return true;
    auto& quota = stateOf(QuotaKind::Retries).quota;
    auto limit = retryLimit(service, now);
    limit.total *= share;
    limit.isolated = quota.knowsRemote(service, now) ? 0 : share * limit.isolated;
    const auto decision = quota.decide(service, limit, now, true);
    countRetry(service, decision);
    return decision.admitted;
}

void QuotaNode::acquireRetry(
    const std::string& service, int rank, util::Time now, PendingRetries::Handler handler)
{
    if (takeReturnedRetry(service, now))
        return handler(true);
    const auto decision
        = stateOf(QuotaKind::Retries).quota.decide(service, retryLimit(service, now), now, false);
    const auto exhausted = m_exhaustedUntil.find(service);
    if (decision.reason != QuotaReason::Unsure
        || (exhausted != m_exhaustedUntil.end() && now < exhausted->second)) {
        countRetry(service, decision);
        return handler(decision.admitted);
    }
    if (m_pendingRetries.add(service, { rank, now + grantTimeout, std::move(handler) }))
        sendReports(QuotaKind::Retries, service, now);
}

double QuotaNode::retryAllowance(const std::string& service, double requested, util::Time now)
{
    const auto& policy = m_settings.policy;
    auto& aggregator = stateOf(QuotaKind::Retries).aggregator;
    auto& allowance = m_allowances.try_emplace(service, policy).first->second;
    const auto silent = aggregator.silentNodes(service, now).size();
    if (silent > 0)
        allowance.forget();
    const double nodes = std::max<double>(1, static_cast<double>(m_nodes.size()));
    // A substitute does not know whether another node aggregates the name for the nodes that it does not hear
    // from.
    const double reached = isFirstCandidate(service)
        ? nodes - static_cast<double>(silent)
        : static_cast<double>(aggregator.reportingNodes(service, now));
    const double known = 1 - aggregator.unknownHistoryShare(service, now);
    const double slack = policy.retrySlack * reached / nodes * known;
    return known * allowance.update(requested, aggregator.unlimited(service, now), slack, now);
}

void QuotaNode::grantRetries(
    const InstanceName& node, const QuotaUsage& usage, RemoteQuotaUsage& remote, util::Time now)
{
    auto& aggregator = stateOf(QuotaKind::Retries).aggregator;
    const double requested
        = countedWindowShare * (static_cast<double>(usage.requested) + static_cast<double>(remote.requested));
    const double allowance = retryAllowance(usage.name, requested, now);
    const double limit = usableRetryShare * allowance;
    const double nominal = m_settings.policy.retryShare * requested + m_settings.policy.retrySlack;
    remote.limitPercent = static_cast<int>(std::clamp(100 * allowance / std::max(1.0, nominal), 0.0, 100.0));
    const double used = static_cast<double>(usage.admitted) + static_cast<double>(remote.admitted)
        + aggregator.granted(usage.name, node);
    if (used >= nearLimitShare * limit) {
        for (const auto& silent :
            aggregator.nodesToQuery(usage.name, aggregator.silentNodes(usage.name, now), now))
            m_outgoing.push_back(
                { silent, QuotaQueryMessage { static_cast<int>(QuotaKind::Retries), { usage.name } } });
    }
    for (const auto& [rank, count] : usage.waiting)
        remote.asked += count;
    remote.granted
        = static_cast<std::uint32_t>(std::clamp<double>(std::floor(limit - used), 0, remote.asked));
    if (remote.granted > 0)
        aggregator.recordGrant(usage.name, node, remote.granted, now);
}

// Retries that were granted but are no longer waiting stay unused. The next report corrects the sum.
void QuotaNode::decidePendingRetries(const RemoteQuotaUsage& remote, util::Time now)
{
    auto& quota = stateOf(QuotaKind::Retries).quota;
    const double limit = retryLimit(remote.name, now).total;
    auto left = remote.granted;
    for (const auto& retry : m_pendingRetries.takeAsked(remote.name, remote.asked)) {
        const bool granted = left > 0;
        if (granted) {
            --left;
            quota.recordGranted(remote.name, now);
        } else {
            m_exhaustedUntil[remote.name] = now + exhaustedPeriod;
        }
        countRetry(remote.name,
            { granted, granted ? QuotaReason::Granted : QuotaReason::Denied,
                quota.localUsage(remote.name, now).admitted, remote.admitted, limit, {} });
        retry.handler(granted);
    }
    if (m_pendingRetries.hasUnasked(remote.name))
        sendReports(QuotaKind::Retries, remote.name, now);
}

void QuotaNode::decideRetriesAlone(
    const std::string& service, const std::vector<PendingRetries::Retry>& retries, util::Time now)
{
    auto& quota = stateOf(QuotaKind::Retries).quota;
    for (const auto& retry : retries) {
        auto limit = retryLimit(service, now);
        // The aggregator was reachable a moment ago and counts this node in its sum, so a reply was probably
        // lost.
        if (quota.knowsRemote(service, now))
            limit.isolated = 0;
        const auto decision = quota.decide(service, limit, now, true);
        countRetry(service, decision);
        retry.handler(decision.admitted);
    }
}

} // namespace tarragonhaven
