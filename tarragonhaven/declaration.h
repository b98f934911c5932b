#pragma once

#include "tarragonhaven/fleet_index.h"
#include "tarragonhaven/organisation.h"

#include <vector>

namespace tarragonhaven {

// All that operators declare of a fleet: the file that is kept in version control.
struct Declaration {
    FleetIndex index;
    std::vector<Organisation> organisations;

    friend bool operator==(const Declaration&, const Declaration&) = default;
};

} // namespace tarragonhaven
