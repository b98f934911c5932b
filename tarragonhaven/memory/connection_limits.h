#pragma once

#include <cstddef>

namespace tarragonhaven {

// Limits on the connections that are accepted at one port.
struct ConnectionLimits {
    std::size_t total = 1000;
    std::size_t byAddress = 1000;
    // The descriptors of the process that may be in use, beside the reserve.
    std::size_t descriptors = 1000;
};

} // namespace tarragonhaven
