#include "tarragonhaven/memory/descriptor_limit.h"

#include <algorithm>
#include <sys/resource.h>

namespace tarragonhaven {

namespace {

    // Assumed if the limit cannot be read; the default of most systems.
    constexpr std::size_t fallbackLimit = 1024;
    // More is of no use, and an unlimited number could not be divided.
    constexpr rlim_t maximumLimit = 1'000'000;

} // namespace

std::size_t descriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return fallbackLimit;
    return static_cast<std::size_t>(std::min(limit.rlim_cur, maximumLimit));
}

} // namespace tarragonhaven
