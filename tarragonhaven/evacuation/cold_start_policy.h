#pragma once

#include "util/time.h"

#include <compare>
#include <string>

namespace tarragonhaven {

// How the targets of a service behave while they are cold: slow, and about to crash if they get many more
// requests than they tolerate. Targets are cold after a start, and may become cold at any later moment.
struct ColdStartPolicy {
    // How long a target is cold after its start.
    util::Duration duration {};
    // The requests per second that a cold target tolerates from all nodes together; 0 if there is no limit.
    double requestsPerSecond = 0;
    // The path at which a target states for how long it remains cold; empty if there is none.
    std::string healthPath;

    [[nodiscard]] bool limitsRequests() const { return requestsPerSecond > 0; }

    friend auto operator<=>(const ColdStartPolicy&, const ColdStartPolicy&) = default;
    friend bool operator==(const ColdStartPolicy&, const ColdStartPolicy&) = default;
};

} // namespace tarragonhaven
