#pragma once

#include "tarragonhaven/testing/disturbance_log.h"
#include "tarragonhaven/testing/fake_target.h"
#include "tarragonhaven/testing/request_ledger.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// The time from the request to evacuate a data centre until its withdrawal.
struct EvacuationPeriod {
    std::string dataCentre;
    std::chrono::steady_clock::time_point from {};
    std::chrono::steady_clock::time_point to {};
};

// What a soak observed of evacuations.
struct EvacuationObservations {
    std::vector<LedgerEntry> requests;
    // The requests that arrived, and the node that guards the target, by target name.
    std::map<std::string, std::vector<TargetArrival>> arrivals;
    std::map<std::string, int> guards;
    // The data centres of nodes.
    std::vector<std::string> dataCentres;
    std::vector<EvacuationPeriod> periods;
};

// What the users require of evacuations.
struct EvacuationBounds {
    // No request reaches a target later than this after the request to evacuate its data centre.
    std::chrono::milliseconds reaction { 5000 };
    // A node that was able to read the store for this long knows its changes. Shorter than `reaction`, as the
    // store may be away several times in that time.
    std::chrono::milliseconds knowledge { 3000 };
};

// Returns a description of each request that reached a target of an evacuated data centre too late, although
// its guard must have known of the evacuation, or the caller sent the request to a node that must have known
// of it. A guard is not blamed for requests that the path to its target held back.
std::vector<std::string> findEvacuationViolations(const EvacuationObservations& observations,
    const DisturbanceLog& disturbances, const EvacuationBounds& bounds = {});

} // namespace tarragonhaven::testing
