#pragma once

#include "tarragonhaven/api_key.h"
#include "tarragonhaven/names.h"

#include <compare>
#include <optional>
#include <vector>

namespace tarragonhaven {

// An organisation, its keys and its limit over the whole fleet.
struct Organisation {
    OrganisationName name;
    double ratePerSecond = 0;
    // The number of requests that may run at once after a quiet time.
    int burst = 1;
    std::vector<ApiKey> keys;
    // When set, goes before the priority of routes; 0 is the most urgent.
    std::optional<int> priority;

    friend auto operator<=>(const Organisation&, const Organisation&) = default;
    friend bool operator==(const Organisation&, const Organisation&) = default;
};

} // namespace tarragonhaven
