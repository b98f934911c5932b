// A report costs one pass over the nodes that have used the organisation within the window.

#include "tarragonhaven/quota_totals.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tarragonhaven {

namespace {

    // Near a limit, nodes that are asked for much report four times a second; one that has not for this long
    // is asked.
    constexpr util::Duration heardFor = std::chrono::milliseconds(500);
    constexpr util::Duration askInterval = std::chrono::milliseconds(500);
    // An answer takes a round trip, and a datagram may be lost.
    constexpr util::Duration answerTimeout = std::chrono::milliseconds(300);

} // namespace

double QuotaTotals::faded(double count, util::Time at, util::Time now) const
{
    return count * std::max(0.0, 1 - util::toSeconds(now - at) / util::toSeconds(m_window));
}

RemoteQuotaUsage QuotaTotals::note(const InstanceName& node, const QuotaUsage& use, util::Time now)
{
    auto& nodes = m_names[use.name];
    std::erase_if(nodes, [this, now](const auto& item) { return now - item.second.at >= m_window; });
    double admitted = 0;
    double asked = 0;
    double young = use.recentlyStarted ? use.requested : 0;
    for (const auto& [other, reported] : nodes) {
        if (other == node)
            continue;
        admitted += faded(reported.use.admitted, reported.at, now)
            + faded(reported.before, reported.beforeAt, now);
        asked += faded(reported.use.requested, reported.at, now);
        young += reported.use.recentlyStarted ? faded(reported.use.requested, reported.at, now) : 0;
    }
    auto& own = nodes[node];
    // A node that started anew knows nothing of what it admitted before.
    if (use.recentlyStarted && !own.use.recentlyStarted) {
        own.before = faded(own.use.admitted, own.at, now);
        own.beforeAt = now;
    }
    own.use = use;
    own.at = now;
    const auto questions = m_asked.find(use.name);
    if (questions != m_asked.end())
        questions->second.erase(node);
    const double all = asked + use.requested;
    return { use.name, static_cast<std::uint32_t>(std::lround(admitted)),
        static_cast<std::uint32_t>(std::lround(asked)), all > 0 ? young / all : 0 };
}

std::vector<InstanceName> QuotaTotals::toAsk(
    const std::string& name, const std::vector<std::string>& nodes, util::Time now)
{
    const auto& reported = m_names[name];
    auto& asked = m_asked[name];
    std::set<InstanceName> known;
    std::vector<InstanceName> result;
    for (const auto& text : nodes) {
        const InstanceName node { text };
        known.insert(node);
        const auto report = reported.find(node);
        if (report != reported.end() && now - report->second.at < heardFor)
            continue;
        auto& question = asked.try_emplace(node, Asked { now, {} }).first->second;
        if (question.last != util::Time {} && now - question.last < askInterval)
            continue;
        question.last = now;
        result.push_back(node);
    }
    std::erase_if(asked, [&known](const auto& item) { return !known.contains(item.first); });
    return result;
}

std::size_t QuotaTotals::silent(const std::string& name, util::Time now) const
{
    const auto asked = m_asked.find(name);
    if (asked == m_asked.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(asked->second.begin(), asked->second.end(),
        [now](const auto& item) { return now - item.second.since >= answerTimeout; }));
}

void QuotaTotals::forget(util::Time now)
{
    for (auto& [name, nodes] : m_names)
        std::erase_if(nodes, [this, now](const auto& node) { return now - node.second.at >= m_window; });
    std::erase_if(m_names, [](const auto& item) { return item.second.empty(); });
    for (auto& [name, questions] : m_asked)
        std::erase_if(
            questions, [this, now](const auto& item) { return now - item.second.last >= m_window; });
    std::erase_if(m_asked, [](const auto& item) { return item.second.empty(); });
}

} // namespace tarragonhaven
