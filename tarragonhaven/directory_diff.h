#pragma once

#include "tarragonhaven/directory.h"
#include "tarragonhaven/target.h"

#include <compare>
#include <vector>

namespace tarragonhaven {

// A target that has begun to serve or has ceased to, because it is leaving or is no longer listed.
struct TargetStateChange {
    Target target;
    bool serving = false;
    // The address at which the node that guards the target accepts messages, from the newest directory that
    // lists its instance.
    Endpoint guardAddress;

    friend auto operator<=>(const TargetStateChange&, const TargetStateChange&) = default;
    friend bool operator==(const TargetStateChange&, const TargetStateChange&) = default;
};

// Returns the targets that serve in one of the directories only, in the order of their names and start times.
// A target that has restarted counts as another one.
std::vector<TargetStateChange> changedTargetStates(const Directory& before, const Directory& after);

} // namespace tarragonhaven
