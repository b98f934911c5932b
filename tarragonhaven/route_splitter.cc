#include "tarragonhaven/route_splitter.h"

#include <algorithm>
#include <numeric>

namespace tarragonhaven {

ServiceName RouteSplitter::selectService(const Route& route)
{
    if (route.split.empty())
        return route.service;
    auto& state = m_states[route.name];
    if (state.split != route.split)
        state = { route.split, std::vector<std::int64_t>(route.split.size(), 0) };
    std::int64_t total = 0;
    for (std::size_t i = 0; i < route.split.size(); ++i) {
        state.currentWeights[i] += route.split[i].weight;
        total += route.split[i].weight;
    }
    const auto best = std::max_element(state.currentWeights.begin(), state.currentWeights.end());
    *best -= total;
    return route.split[static_cast<std::size_t>(best - state.currentWeights.begin())].service;
}

} // namespace tarragonhaven
