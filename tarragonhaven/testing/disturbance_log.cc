#include "tarragonhaven/testing/disturbance_log.h"

#include <algorithm>

namespace tarragonhaven::testing {

void DisturbanceLog::end(Kind kind, int node, Time now)
{
    const auto begun = m_begun.find({ kind, node });
    if (begun == m_begun.end())
        return;
    m_ended[begun->first].emplace_back(begun->second, now);
    m_begun.erase(begun);
}

std::vector<DisturbanceLog::Span> DisturbanceLog::spans(Kind kind, int node) const
{
    std::vector<Span> result;
    if (const auto ended = m_ended.find({ kind, node }); ended != m_ended.end())
        result = ended->second;
    if (const auto begun = m_begun.find({ kind, node }); begun != m_begun.end())
        result.emplace_back(begun->second, Time::max());
    return result;
}

bool DisturbanceLog::overlaps(Kind kind, int node, Time from, Time to) const
{
    const auto all = spans(kind, node);
    return std::any_of(
        all.begin(), all.end(), [&](const Span& span) { return span.first <= to && span.second >= from; });
}

bool DisturbanceLog::mustKnow(int node, Time changed, std::chrono::milliseconds delay, Time at) const
{
    auto from = changed;
    if (const auto starts = m_starts.find(node); starts != m_starts.end()) {
        for (const auto start : starts->second) {
            if (start <= at)
                from = std::max(from, start);
        }
    }
    std::vector<Span> disturbances;
    const Key keys[] = { { Kind::Store, allNodes }, { Kind::StoreContent, allNodes },
        { Kind::StorePath, node }, { Kind::Process, node } };
    for (const auto& [kind, concerned] : keys) {
        for (const auto& span : spans(kind, concerned))
            disturbances.push_back(span);
    }
    std::sort(disturbances.begin(), disturbances.end());
    for (const auto& [begin, end] : disturbances) {
        if (begin >= from + delay)
            break;
        from = std::max(from, end);
        if (from > at)
            return false;
    }
    return from + delay <= at;
}

} // namespace tarragonhaven::testing
