#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/target.h"

#include <compare>
#include <vector>

namespace tarragonhaven {

// How a service trades the speed of ejection against false ejections.
enum class EjectionSensitivity {
    // Ejects on less evidence.
    Fast,
    Balanced,
    // Waits for more evidence; for services with few slots, where every target counts.
    Careful,
};

// A service and its targets.
struct Service {
    ServiceName name;
    // The share of the service's slots that ejection must leave in use, in percent.
    int floorPercent = 50;
    EjectionSensitivity sensitivity = EjectionSensitivity::Balanced;
    std::vector<Target> targets;

    friend auto operator<=>(const Service&, const Service&) = default;
    friend bool operator==(const Service&, const Service&) = default;
};

} // namespace tarragonhaven
