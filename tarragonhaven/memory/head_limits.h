#pragma once

#include "util/error.h"

#include <compare>
#include <cstddef>
#include <limits>

namespace tarragonhaven {

// Limits on the header fields of a request beside the declared size of its head. A head of 16 kB may consist
// of 3,200 fields, which take 40 times its size in memory.
struct HeadLimits {
    // Browsers and libraries send 10 to 40 fields.
    std::size_t fields = 200;
    // The memory of the parsed head, see fieldCost(). 100 fields of 160 bytes each take 65 kB.
    std::size_t memoryBytes = 96 * 1024;

    static HeadLimits none()
    {
        return { std::numeric_limits<std::size_t>::max(), std::numeric_limits<std::size_t>::max() };
    }

    friend auto operator<=>(const HeadLimits&, const HeadLimits&) = default;
    friend bool operator==(const HeadLimits&, const HeadLimits&) = default;
};

// The limits that an operator may set, as read from flags.
struct RawHeadLimits {
    double fields = 200;
    double memoryBytes = 96 * 1024;
};

// Checks the limits and adds each fault under the name of its flag.
HeadLimits parseHeadLimits(const RawHeadLimits& raw, util::Faults& faults);

} // namespace tarragonhaven
