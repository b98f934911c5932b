#include "tarragonhaven/testing/cold_check.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace tarragonhaven::testing {

std::vector<std::string> findColdViolations(
    const ColdObservations& observations, const DisturbanceLog& disturbances, const ColdBounds& bounds)
{
    using Kind = DisturbanceLog::Kind;
    std::vector<std::string> violations;
    for (const auto& period : observations.periods) {
        const auto found = observations.arrivals.find(period.target);
        const auto guard = observations.guards.find(period.target);
        if (found == observations.arrivals.end() || guard == observations.guards.end())
            continue;
        std::vector<DisturbanceLog::Time> counted;
        for (const auto& arrival : found->second) {
            const auto at = arrival.at;
            if (at < period.from || at >= period.to)
                continue;
            const bool known = !period.recordOnly
                || disturbances.mustKnow(guard->second, period.from, bounds.recordDelay, at);
            if (known && !disturbances.overlaps(Kind::TargetPath, guard->second, at - bounds.pathDelay, at))
                counted.push_back(at);
        }
        std::sort(counted.begin(), counted.end());
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t last = 0; last < counted.size(); ++last) {
            while (counted[last] - counted[first] >= bounds.window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        if (most > bounds.maximumRequests)
            violations.push_back(absl::StrCat("target ", period.target, ", cold ",
                period.recordOnly ? "as its record says" : "after a start", ", got ", most,
                " requests in one second, ", bounds.maximumRequests, " are allowed"));
    }
    return violations;
}

} // namespace tarragonhaven::testing
