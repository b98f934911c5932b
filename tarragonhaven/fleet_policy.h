#pragma once

#include "util/time.h"

#include <compare>

namespace tarragonhaven {

// What an operator fixes for a fleet that discovers its targets: the limits that hold over all nodes.
struct FleetPolicy {
    // An organisation may run rate x window + burst requests in any window of this length, over all nodes.
    util::Duration quotaWindow = std::chrono::seconds(5);
    // By how much the sum over all nodes may exceed that: a share of it, and a number of requests.
    double quotaOvershoot = 0.25;
    double quotaSlack = 20;
    // Retries that a service may get from all nodes in any window: a share of its requests, and a number.
    util::Duration retryWindow = std::chrono::seconds(10);
    double retryShare = 0.2;
    double retrySlack = 60;
    // The share of a service's slots that ejection leaves in use.
    double floorShare = 0.7;
    // From the signal to stop to the end of the process.
    util::Duration gracePeriod = std::chrono::seconds(6);

    friend auto operator<=>(const FleetPolicy&, const FleetPolicy&) = default;
    friend bool operator==(const FleetPolicy&, const FleetPolicy&) = default;
};

} // namespace tarragonhaven
