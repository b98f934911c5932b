// A report costs one pass over the nodes that have used the organisation within the window.

#include "tarragonhaven/quota_totals.h"

#include <cmath>

namespace tarragonhaven {

QuotaElsewhere QuotaTotals::note(const InstanceName& node, const QuotaUse& use, util::Time now)
{
    auto& nodes = m_names[use.name];
    std::erase_if(nodes, [this, now](const auto& item) { return now - item.second.at >= m_window; });
    double admitted = 0;
    double asked = 0;
    double young = use.young ? use.asked : 0;
    for (const auto& [other, reported] : nodes) {
        if (other == node)
            continue;
        const double kept = 1 - util::toSeconds(now - reported.at) / util::toSeconds(m_window);
        admitted += kept * reported.use.admitted;
        asked += kept * reported.use.asked;
        young += reported.use.young ? kept * reported.use.asked : 0;
    }
    nodes[node] = { use, now };
    const double all = asked + use.asked;
    return { use.name, static_cast<std::uint32_t>(std::lround(admitted)),
        static_cast<std::uint32_t>(std::lround(asked)), all > 0 ? young / all : 0 };
}

void QuotaTotals::forget(util::Time now)
{
    for (auto& [name, nodes] : m_names)
        std::erase_if(nodes, [this, now](const auto& node) { return now - node.second.at >= m_window; });
    std::erase_if(m_names, [](const auto& item) { return item.second.empty(); });
}

} // namespace tarragonhaven
