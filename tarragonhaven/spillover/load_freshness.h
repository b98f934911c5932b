#pragma once

#include "util/time.h"

#include <algorithm>

namespace tarragonhaven {

// State up to this age counts in full, and beyond the second age not at all.
inline constexpr util::Duration fullWeightAge = std::chrono::seconds(1);
inline constexpr util::Duration maximumLoadAge = std::chrono::seconds(3);

// Returns the weight of knowledge of an age, from 0 to 1.
inline double freshness(util::Duration age)
{
    return std::clamp(
        util::toSeconds(maximumLoadAge - age) / util::toSeconds(maximumLoadAge - fullWeightAge), 0.0, 1.0);
}

} // namespace tarragonhaven
