#pragma once

#include "tarragonhaven/api_key.h"
#include "tarragonhaven/names.h"

#include <compare>
#include <optional>
#include <vector>

namespace tarragonhaven {

// An organisation with its keys and its rate limit, which applies to the fleet as a whole.
struct Organisation {
    OrganisationName name;
    double ratePerSecond = 0;
    // The number of requests that are admitted at once after a time without requests.
    int burst = 1;
    std::vector<ApiKey> keys;
    // If set, overrides the priority of the route; 0 is the most urgent.
    std::optional<int> priority;
    // The regions that requests may be sent to; all if not set.
    std::optional<RegionList> allowedRegions;

    friend auto operator<=>(const Organisation&, const Organisation&) = default;
    friend bool operator==(const Organisation&, const Organisation&) = default;
};

} // namespace tarragonhaven
