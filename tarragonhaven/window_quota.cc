// A decision costs one map lookup, plus one step for each step of the window that has passed since the last
// decision.

#include "tarragonhaven/window_quota.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // Nothing is refused below this share of the limit. A fleet with five times the limit in requests uses up
    // the rest of the bound (1.25 times the limit by default) in a tenth of the window, which is longer than
    // two reports take.
    constexpr double farBelowShare = 0.75;
    // The share of the limit that is admitted while all nodes are recently started. The rest may have been
    // admitted before they started, which they do not know.
    constexpr double recentlyStartedLimitShare = 0.35;
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
    auto& usage = usageOf(name);
    const auto decision = evaluate(usage, limit, nodes, now, final);
    if (decision.admitted) {
        usage.admitted.add(now);
        ++usage.admittedSinceRemote;
    }
    return decision;
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
    NameUsage& usage, double limit, std::size_t nodes, util::Time now, bool final) const
{
    const auto local = usage.admitted.sum(now);
    const auto requested = usage.requested.sum(now);
    const auto age = now - usage.remoteReceivedAt;
    if (isRemoteUsable(usage, now)) {
        const auto& remote = *usage.remote;
        const double effectiveLimit
            = limit * (1 - remote.recentlyStartedShare * (1 - recentlyStartedLimitShare));
        const double estimatedGrowth = usage.admittedSinceRemote * static_cast<double>(remote.requested)
            / std::max<double>(1, requested);
        if (local + remote.admitted + estimatedGrowth + 1 <= farBelowShare * effectiveLimit)
            return { true, QuotaReason::FarBelow, local, remote.admitted, limit, age };
        if (age <= m_options.exactMaxAge) {
            const double share
                = static_cast<double>(requested) / std::max<double>(1, requested + remote.requested);
            const bool within = local < effectiveLimit * share
                && local + remote.admitted + 1 <= limit + usableSlackShare * m_options.slack;
            return { within, within ? QuotaReason::WithinShare : QuotaReason::BeyondShare, local,
                remote.admitted, limit, age };
        }
    }
    if (!final)
        return { false, QuotaReason::Unsure, local, 0, limit, age };
    return evaluateWithoutRemote(usage, limit, nodes, now);
}

double WindowQuota::evenPart(double limit, std::size_t nodes) const
{
    const double bound = limit * (1 + m_options.overshoot) + m_options.slack;
    return evenlyDividedShare * bound / static_cast<double>(std::max<std::size_t>(1, nodes));
}

QuotaUsage WindowQuota::makeReport(const std::string& name, NameUsage& usage, util::Time now) const
{
    return { name, usage.admitted.sum(now), usage.requested.sum(now), recentlyStarted(now) };
}

QuotaUsage WindowQuota::localUsage(const std::string& name, util::Time now)
{
    const auto found = m_usages.find(name);
    return found == m_usages.end() ? QuotaUsage { name, 0, 0, recentlyStarted(now) }
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
    NameUsage& usage, double limit, std::size_t nodes, util::Time now) const
{
    const double startupFactor = recentlyStarted(now) ? recentlyStartedLimitShare : 1;
    const double part = startupFactor * evenPart(limit, nodes);
    const auto local = usage.admitted.sum(now);
    const bool within = local + 1 <= std::max(1.0, part);
    return { within, within ? QuotaReason::WithinEvenPart : QuotaReason::BeyondEvenPart, local, 0, limit,
        now - usage.remoteReceivedAt };
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
