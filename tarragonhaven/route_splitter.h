#pragma once

#include "tarragonhaven/route.h"

#include <map>
#include <vector>

namespace tarragonhaven {

// Divides the requests of a route among its services by smooth weighted round robin. After any n requests,
// the number of requests of each service differs by at most one from its share of n. The state of a route is
// reset when its split changes.
class RouteSplitter {
public:
    // Returns the service for the next request of the route.
    ServiceName selectService(const Route& route);

private:
    struct SplitState {
        std::vector<RouteShare> split;
        std::vector<std::int64_t> currentWeights;
    };

    std::map<RouteName, SplitState> m_states;
};

} // namespace tarragonhaven
