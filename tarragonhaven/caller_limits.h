#pragma once

#include "util/time.h"

#include <compare>
#include <cstdint>
#include <limits>

namespace tarragonhaven {

// Limits on the size and duration of a caller's requests. Declarations may set them.
struct CallerLimits {
    std::uint32_t headBytes = 32 * 1024;
    std::uint64_t bodyBytes = std::numeric_limits<std::uint64_t>::max();
    // From the first byte of a request head to its last.
    util::Duration headTimeout = std::chrono::seconds(10);
    // Between two requests on one connection.
    util::Duration idleTimeout = std::chrono::seconds(75);

    friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

} // namespace tarragonhaven
