#pragma once

#include "tarragonhaven/evacuation/cold_start_policy.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/target.h"

#include <compare>
#include <vector>

namespace tarragonhaven {

// How the ejection of targets balances speed against false ejections.
enum class EjectionSensitivity {
    // Ejects on less evidence.
    Fast,
    Balanced,
    // Waits for more evidence; meant for services with few slots, where each target matters.
    Careful,
};

// A declared service and its targets.
struct Service {
    ServiceName name;
    // The share of the service's slots, in percent, that ejections must leave serving.
    int floorPercent = 50;
    EjectionSensitivity sensitivity = EjectionSensitivity::Balanced;
    std::vector<Target> targets;
    ColdStartPolicy coldStart {};

    friend auto operator<=>(const Service&, const Service&) = default;
    friend bool operator==(const Service&, const Service&) = default;
};

} // namespace tarragonhaven
