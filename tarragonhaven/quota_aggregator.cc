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

} // namespace

double QuotaAggregator::decayed(double count, util::Time at, util::Time now) const
{
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
        admitted += decayed(reported.usage.admitted, reported.receivedAt, now)
            + decayed(reported.admittedBeforeRestart, reported.restartSeenAt, now);
        requested += decayed(reported.usage.requested, reported.receivedAt, now);
        requestedOfRecentlyStarted += reported.usage.recentlyStarted
            ? decayed(reported.usage.requested, reported.receivedAt, now)
            : 0;
    }
    auto& current = nodes[node];
    // A restarted node does not know what it admitted before the restart.
    if (usage.recentlyStarted && !current.usage.recentlyStarted) {
        current.admittedBeforeRestart = decayed(current.usage.admitted, current.receivedAt, now);
        current.restartSeenAt = now;
    }
    current.usage = usage;
    current.receivedAt = now;
    const auto queries = m_queries.find(usage.name);
    if (queries != m_queries.end())
        queries->second.erase(node);
    const double all = requested + usage.requested;
    return { usage.name, static_cast<std::uint32_t>(std::lround(admitted)),
        static_cast<std::uint32_t>(std::lround(requested)), all > 0 ? requestedOfRecentlyStarted / all : 0 };
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
