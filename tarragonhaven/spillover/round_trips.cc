#include "tarragonhaven/spillover/round_trips.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    constexpr util::Duration window = std::chrono::seconds(30);
    // Data centres that share the links of a fleet are 2 to 8 ms apart.
    constexpr double assumedSeconds = 0.005;

} // namespace

void RoundTrips::record(const DataCentreName& dataCentre, util::Duration elapsed, util::Time now)
{
    auto& least = m_least[dataCentre];
    if (now - least.windowStart > window) {
        least.previous = now - least.windowStart > 2 * window ? util::Duration::max() : least.current;
        least.current = util::Duration::max();
        least.windowStart = now;
    }
    least.current = std::min(least.current, elapsed);
}

double RoundTrips::secondsTo(const DataCentreName& dataCentre) const
{
    const auto found = m_least.find(dataCentre);
    return found == m_least.end() ? assumedSeconds
                                  : util::toSeconds(std::min(found->second.current, found->second.previous));
}

} // namespace tarragonhaven
