// A report costs one pass over the nodes that have used the name within the window.

#include "tarragonhaven/quota_aggregator.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tarragonhaven {

namespace {

    // A node without a report for this long is queried. Near a limit, nodes with many requests report four
    // times a second (QuotaOptions::busyReportInterval).
    constexpr util::Duration reportMaxAge = std::chrono::milliseconds(500);
    constexpr util::Duration queryInterval = std::chrono::milliseconds(500);
    // A node counts as unresponsive this long after its first unanswered query. The time allows for a round
    // trip. A node whose query or report was lost also counts as unresponsive until its next report.
    constexpr util::Duration queryTimeout = std::chrono::milliseconds(300);
    // Nodes with requests report at least this often (QuotaOptions::idleReportInterval, and a tick).
    constexpr util::Duration expectedReportInterval = std::chrono::milliseconds(1150);
    // A node without a report for this long has no requests under the name, or is cut off.
    constexpr util::Duration silentAfter = std::chrono::seconds(2);
    // A report that arrives this soon after a grant may have been sent before the grant arrived. Above a
    // round trip between data centres.
    constexpr util::Duration grantDelivery = std::chrono::milliseconds(30);

} // namespace

double QuotaAggregator::decayed(double count, util::Time at, util::Time now, util::Duration constantFor) const
{
    if (now - at <= constantFor)
        return count;
    return count * std::max(0.0, 1 - util::toSeconds(now - at) / util::toSeconds(m_window));
}

RemoteQuotaUsage QuotaAggregator::recordReport(
    const InstanceName& node, const QuotaUsage& usage, util::Time now)
{
    auto& nodes = m_reports[usage.name];
    std::erase_if(nodes, [this, now](const auto& item) { return now - item.second.receivedAt >= m_window; });
    double admitted = 0;
    double requested = 0;
    double requestedOfRecentlyStarted = usage.recentlyStarted ? usage.requested : 0;
    for (const auto& [other, reported] : nodes) {
        if (other == node)
            continue;
        admitted += decayed(reported.usage.admitted + reported.granted, reported.receivedAt, now, silentAfter)
            + decayed(reported.admittedBeforeRestart, reported.restartSeenAt, now);
        requested += decayed(reported.usage.requested, reported.receivedAt, now, expectedReportInterval);
        requestedOfRecentlyStarted += reported.usage.recentlyStarted
            ? decayed(reported.usage.requested, reported.receivedAt, now)
            : 0;
    }
    auto& current = nodes[node];
    // A restarted node does not know what it admitted before the restart.
    if (usage.recentlyStarted && !current.usage.recentlyStarted) {
        current.admittedBeforeRestart = decayed(current.usage.admitted, current.receivedAt, now);
        current.restartSeenAt = now;
        current.historyUnknown = current.receivedAt == util::Time {};
    }
    current.usage = usage;
    current.receivedAt = now;
    if (now - current.grantedAt > grantDelivery)
        current.granted = 0;
    const auto queries = m_queries.find(usage.name);
    if (queries != m_queries.end())
        queries->second.erase(node);
    const double all = requested + usage.requested;
    const double recentlyStarted = all > 0 ? requestedOfRecentlyStarted / all : 0;
    const double percent = 100 * (1 - recentlyStarted * (1 - recentlyStartedLimitShare));
    return { usage.name, static_cast<std::uint32_t>(std::lround(admitted)),
        static_cast<std::uint32_t>(std::lround(requested)), static_cast<int>(percent) };
}

void QuotaAggregator::recordGrant(
    const std::string& name, const InstanceName& node, std::uint32_t count, util::Time now)
{
    auto& report = m_reports[name][node];
    report.granted += count;
    report.grantedAt = now;
}

std::uint32_t QuotaAggregator::granted(const std::string& name, const InstanceName& node) const
{
    const auto nodes = m_reports.find(name);
    if (nodes == m_reports.end())
        return 0;
    const auto found = nodes->second.find(node);
    return found == nodes->second.end() ? 0 : found->second.granted;
}

double QuotaAggregator::unknownHistoryShare(const std::string& name, util::Time now) const
{
    double requested = 0;
    double unknown = 0;
    const auto nodes = m_reports.find(name);
    if (nodes == m_reports.end())
        return 0;
    for (const auto& [node, report] : nodes->second) {
        requested += report.usage.requested;
        if (report.historyUnknown)
            unknown += decayed(report.usage.requested, report.restartSeenAt, now);
    }
    return requested > 0 ? unknown / requested : 0;
}

double QuotaAggregator::unlimited(const std::string& name, util::Time now) const
{
    double sum = 0;
    const auto nodes = m_reports.find(name);
    if (nodes == m_reports.end())
        return sum;
    for (const auto& [node, report] : nodes->second)
        sum += decayed(report.usage.unlimited, report.receivedAt, now, silentAfter);
    return sum;
}

std::size_t QuotaAggregator::reportingNodes(const std::string& name, util::Time now) const
{
    const auto nodes = m_reports.find(name);
    if (nodes == m_reports.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(nodes->second.begin(), nodes->second.end(),
        [now](const auto& item) { return now - item.second.receivedAt <= silentAfter; }));
}

std::vector<std::string> QuotaAggregator::silentNodes(const std::string& name, util::Time now) const
{
    std::vector<std::string> silent;
    const auto nodes = m_reports.find(name);
    if (nodes == m_reports.end())
        return silent;
    for (const auto& [node, report] : nodes->second) {
        if (now - report.receivedAt > silentAfter)
            silent.push_back(node.text);
    }
    return silent;
}

std::vector<InstanceName> QuotaAggregator::nodesToQuery(
    const std::string& name, const std::vector<std::string>& nodes, util::Time now)
{
    const auto& reported = m_reports[name];
    auto& queries = m_queries[name];
    std::set<InstanceName> members;
    std::vector<InstanceName> result;
    for (const auto& text : nodes) {
        const InstanceName node { text };
        members.insert(node);
        const auto report = reported.find(node);
        if (report != reported.end() && now - report->second.receivedAt < reportMaxAge)
            continue;
        auto& query = queries.try_emplace(node, UnansweredQuery { now, {} }).first->second;
        if (query.lastSentAt != util::Time {} && now - query.lastSentAt < queryInterval)
            continue;
        query.lastSentAt = now;
        result.push_back(node);
    }
    std::erase_if(queries, [&members](const auto& item) { return !members.contains(item.first); });
    return result;
}

std::size_t QuotaAggregator::unresponsiveNodes(const std::string& name, util::Time now) const
{
    const auto queries = m_queries.find(name);
    if (queries == m_queries.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(queries->second.begin(), queries->second.end(),
        [now](const auto& item) { return now - item.second.firstSentAt >= queryTimeout; }));
}

void QuotaAggregator::removeExpired(util::Time now)
{
    for (auto& [name, nodes] : m_reports)
        std::erase_if(
            nodes, [this, now](const auto& node) { return now - node.second.receivedAt >= m_window; });
    std::erase_if(m_reports, [](const auto& item) { return item.second.empty(); });
    for (auto& [name, queries] : m_queries)
        std::erase_if(
            queries, [this, now](const auto& item) { return now - item.second.lastSentAt >= m_window; });
    std::erase_if(m_queries, [](const auto& item) { return item.second.empty(); });
}

} // namespace tarragonhaven
