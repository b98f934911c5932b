#pragma once

#include "tarragonhaven/route.h"

#include <map>
#include <vector>

namespace tarragonhaven {

// Divides the requests of a route among its services by smooth weighted round robin: after any n requests
// each service has had its share of n, give or take one. The state of a route is kept while its split stays
// as it is.
class RouteSplitter {
public:
    // The service for the next request of the route.
    ServiceName selectService(const Route& route);

private:
    struct SplitState {
        std::vector<RouteShare> split;
        std::vector<std::int64_t> currentWeights;
    };

    std::map<RouteName, SplitState> m_states;
};

} // namespace tarragonhaven
