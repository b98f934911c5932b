#pragma once

#include "tarragonhaven/testing/disturbance_log.h"
#include "tarragonhaven/testing/fake_target.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A time in which a target is cold.
struct ColdPeriod {
    std::string target;
    std::chrono::steady_clock::time_point from {};
    std::chrono::steady_clock::time_point to {};
    // Whether only a record in the store, written at `from`, told of it. Otherwise it follows a start.
    bool recordOnly = false;
};

// What a soak observed of cold targets.
struct ColdObservations {
    // The requests that arrived, and the node that guards the target, by target name.
    std::map<std::string, std::vector<TargetArrival>> arrivals;
    std::map<std::string, int> guards;
    std::vector<ColdPeriod> periods;
};

// What the users require: in any `window`, at most `maximumRequests` reach a cold target. A record binds a
// guard that was able to read the store for `recordDelay`.
struct ColdBounds {
    std::size_t maximumRequests = 0;
    std::chrono::milliseconds window { 1000 };
    std::chrono::milliseconds recordDelay { 3000 };
    // Requests that the path to the target held back may arrive together for this long after its fault.
    std::chrono::milliseconds pathDelay { 1000 };
};

// Returns a description of each period in which a target got more requests.
std::vector<std::string> findColdViolations(
    const ColdObservations& observations, const DisturbanceLog& disturbances, const ColdBounds& bounds);

} // namespace tarragonhaven::testing
