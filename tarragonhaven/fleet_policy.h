#pragma once

#include "tarragonhaven/evacuation/cold_pace.h"
#include "util/time.h"

#include <compare>

namespace tarragonhaven {

// Limits that hold over all nodes of a fleet that discovers its targets. Set by the operator.
struct FleetPolicy {
    // An organisation may run rate x window + burst requests over all nodes in any window of this length.
    util::Duration quotaWindow = std::chrono::seconds(5);
    // How far the sum over all nodes may exceed that: by a share of it, plus a number of requests.
    double quotaOvershoot = 0.25;
    double quotaSlack = 20;
    // Retries that a service may get from all nodes in any window of length `retryWindow`: a share of its
    // requests, plus a number of retries.
    util::Duration retryWindow = std::chrono::seconds(10);
    double retryShare = 0.2;
    double retrySlack = 60;
    // The share of a service's slots that ejection leaves in use.
    double floorShare = 0.7;
    // How long after the request to evacuate a data centre requests may still reach its targets.
    util::Duration evacuationBound = std::chrono::seconds(5);
    ColdPaceBound coldPace;
    // The time from the stop signal to the end of the process.
    util::Duration gracePeriod = std::chrono::seconds(6);

    friend auto operator<=>(const FleetPolicy&, const FleetPolicy&) = default;
    friend bool operator==(const FleetPolicy&, const FleetPolicy&) = default;
};

} // namespace tarragonhaven
