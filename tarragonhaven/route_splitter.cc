#include "tarragonhaven/route_splitter.h"

#include <algorithm>
#include <numeric>

namespace tarragonhaven {

ServiceName RouteSplitter::next(const Route& route)
{
    if (route.split.empty())
        return route.service;
    auto& credits = m_credits[route.name];
    if (credits.split != route.split)
        credits = { route.split, std::vector<std::int64_t>(route.split.size(), 0) };
    std::int64_t total = 0;
    for (std::size_t i = 0; i < route.split.size(); ++i) {
        credits.credit[i] += route.split[i].weight;
        total += route.split[i].weight;
    }
    const auto best = std::max_element(credits.credit.begin(), credits.credit.end());
    *best -= total;
    return route.split[static_cast<std::size_t>(best - credits.credit.begin())].service;
}

} // namespace tarragonhaven
