// A decision costs one map lookup, plus one step for each step of the window that has passed since the last
// decision.

#include "tarragonhaven/window_quota.h"

#include "tarragonhaven/quota_aggregator.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The share of the bound that is divided evenly among nodes that do not hear from each other.
    constexpr double evenlyDividedShare = 0.85;
    // From this share of the limit on, nodes without a recent report are queried. At five times the limit in
    // requests, the rest of the limit lasts as long as the wait for their replies.
    constexpr double nearLimitShare = 0.5;
    // The share of the permitted excess over the limit that is left for admissions of unresponsive nodes,
    // without a reserve. The rest covers estimates that lag behind.
    constexpr double unreservedShare = 0.5;
    // The share of the slack that nodes may use near the limit, because each node rounds its share up.
    constexpr double usableSlackShare = 0.3;

} // namespace

std::string_view toString(QuotaReason reason)
{
    switch (reason) {
    case QuotaReason::FarBelow:
        return "far-below";
    case QuotaReason::WithinShare:
        return "within-share";
    case QuotaReason::BeyondShare:
        return "beyond-share";
    case QuotaReason::Unsure:
        return "unsure";
    case QuotaReason::Granted:
        return "granted";
    case QuotaReason::Denied:
        return "denied";
    case QuotaReason::WithinEvenPart:
        return "within-even-part";
    case QuotaReason::BeyondEvenPart:
        return "beyond-even-part";
    }
    return "far-below";
}

WindowQuota::NameUsage& WindowQuota::usageOf(const std::string& name)
{
    return m_usages.try_emplace(name, m_options.window).first->second;
}

void WindowQuota::recordRequested(const std::string& name, util::Time now)
{
    auto& usage = usageOf(name);
    usage.requested.add(now);
    usage.lastRequestedAt = now;
    ++usage.unreportedRequests;
}

QuotaDecision WindowQuota::decide(
    const std::string& name, double limit, std::size_t nodes, util::Time now, bool final)
{
    // A recently started node does not know what it admitted before.
    const double startupFactor = recentlyStarted(now) ? QuotaAggregator::recentlyStartedLimitShare : 1;
    const double part = std::max(1.0, startupFactor * evenPart(limit, nodes));
    return decide(name, QuotaLimit { limit, part }, now, final);
}

QuotaDecision WindowQuota::decide(
    const std::string& name, const QuotaLimit& limit, util::Time now, bool final)
{
    auto& usage = usageOf(name);
    const auto decision = evaluate(usage, limit, now, final);
    if (decision.admitted)
        recordAdmitted(usage, now);
    return decision;
}

// If admissions are granted, each has to be reported, since a request may be retried long after it was
// recorded.
void WindowQuota::recordAdmitted(NameUsage& usage, util::Time now) const
{
    usage.admitted.add(now);
    ++usage.admittedSinceRemote;
    if (!m_options.granted)
        return;
    usage.lastRequestedAt = now;
    ++usage.unreportedRequests;
}

void WindowQuota::recordGranted(const std::string& name, util::Time now)
{
    recordAdmitted(usageOf(name), now);
}

void WindowQuota::recordUnlimited(const std::string& name, util::Time now)
{
    auto& usage = usageOf(name);
    usage.unlimited.add(now);
    recordAdmitted(usage, now);
}

double WindowQuota::localRequested(const std::string& name, util::Time now)
{
    return usageOf(name).requested.sum(now);
}

bool WindowQuota::knowsRemote(const std::string& name, util::Time now) const
{
    const auto found = m_usages.find(name);
    return found != m_usages.end() && isRemoteUsable(found->second, now);
}

bool WindowQuota::isRemoteUsable(const NameUsage& usage, util::Time now) const
{
    return usage.remote && now - usage.remoteReceivedAt <= m_options.remoteMaxAge;
}

double WindowQuota::fleetRequested(const std::string& name, util::Time now)
{
    auto& usage = usageOf(name);
    return usage.requested.sum(now) + (isRemoteUsable(usage, now) ? usage.remote->requested : 0.0);
}

QuotaDecision WindowQuota::evaluate(
    NameUsage& usage, const QuotaLimit& limit, util::Time now, bool final) const
{
    const auto local = usage.admitted.sum(now);
    const auto requested = usage.requested.sum(now);
    const auto age = now - usage.remoteReceivedAt;
    if (isRemoteUsable(usage, now)) {
        const auto& remote = *usage.remote;
        const double effectiveLimit = limit.total * remote.limitPercent / 100;
        const double estimatedGrowth = usage.admittedSinceRemote * static_cast<double>(remote.requested)
            / std::max<double>(1, requested);
        if (local + remote.admitted + estimatedGrowth + 1 <= m_options.farBelowShare * effectiveLimit)
            return { true, QuotaReason::FarBelow, local, remote.admitted, limit.total, age };
        if (!m_options.granted && age <= m_options.exactMaxAge) {
            const double share
                = static_cast<double>(requested) / std::max<double>(1, requested + remote.requested);
            const bool within = local < effectiveLimit * share
                && local + remote.admitted + 1 <= limit.total + usableSlackShare * m_options.slack;
            return { within, within ? QuotaReason::WithinShare : QuotaReason::BeyondShare, local,
                remote.admitted, limit.total, age };
        }
    }
    if (!final)
        return { false, QuotaReason::Unsure, local, 0, limit.total, age };
    return evaluateWithoutRemote(usage, limit, now);
}

double WindowQuota::evenPart(double limit, std::size_t nodes) const
{
    const double bound = limit * (1 + m_options.overshoot) + m_options.slack;
    return evenlyDividedShare * bound / static_cast<double>(std::max<std::size_t>(1, nodes));
}

QuotaUsage WindowQuota::makeReport(const std::string& name, NameUsage& usage, util::Time now) const
{
    return { name, usage.admitted.sum(now), usage.requested.sum(now), recentlyStarted(now), {},
        usage.unlimited.sum(now) };
}

QuotaUsage WindowQuota::localUsage(const std::string& name, util::Time now)
{
    const auto found = m_usages.find(name);
    return found == m_usages.end() ? QuotaUsage { name, 0, 0, recentlyStarted(now), {}, 0 }
                                   : makeReport(name, found->second, now);
}

bool WindowQuota::nearLimit(double admitted, double limit) { return admitted >= nearLimitShare * limit; }

double WindowQuota::reserveForUnresponsive(std::size_t unresponsive, double limit, std::size_t nodes) const
{
    const double margin = limit * m_options.overshoot + m_options.slack;
    return std::max(
        0.0, static_cast<double>(unresponsive) * evenPart(limit, nodes) - unreservedShare * margin);
}

QuotaDecision WindowQuota::evaluateWithoutRemote(
    NameUsage& usage, const QuotaLimit& limit, util::Time now) const
{
    const auto local = usage.admitted.sum(now);
    const bool within = local + 1 <= limit.isolated;
    return { within, within ? QuotaReason::WithinEvenPart : QuotaReason::BeyondEvenPart, local, 0,
        limit.total, now - usage.remoteReceivedAt };
}

void WindowQuota::updateRemote(const RemoteQuotaUsage& remote, util::Time now)
{
    const auto found = m_usages.find(remote.name);
    if (found == m_usages.end())
        return;
    found->second.remote = remote;
    found->second.remoteReceivedAt = now;
    found->second.admittedSinceRemote = 0;
}

bool WindowQuota::isReportDue(const NameUsage& usage, util::Time now) const
{
    const auto sinceReport = now - usage.lastReportAt;
    if (usage.unreportedRequests == 0)
        return false;
    return sinceReport >= m_options.idleReportInterval
        || (sinceReport >= m_options.busyReportInterval
            && usage.unreportedRequests >= m_options.busyReportRequests);
}

std::vector<QuotaUsage> WindowQuota::takeReports(util::Time now, const std::string& urgent)
{
    std::vector<QuotaUsage> reports;
    for (auto& [name, usage] : m_usages) {
        if (!isReportDue(usage, now) && (urgent.empty() || name != urgent))
            continue;
        usage.unreportedRequests = 0;
        usage.lastReportAt = now;
        reports.push_back(makeReport(name, usage, now));
    }
    return reports;
}

void WindowQuota::removeIdle(util::Time now)
{
    std::erase_if(m_usages,
        [this, now](const auto& item) { return now - item.second.lastRequestedAt > 2 * m_options.window; });
}

} // namespace tarragonhaven
