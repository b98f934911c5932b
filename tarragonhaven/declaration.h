#pragma once

#include "tarragonhaven/fleet_index.h"
#include "tarragonhaven/organisation.h"

#include <vector>

namespace tarragonhaven {

// The configuration of a fleet as operators declare it, in one JSON file that is kept in version control.
// Parsing checks the file and reports all faults, see declaration_parse.h.
struct Declaration {
    FleetIndex index;
    std::vector<Organisation> organisations;

    friend bool operator==(const Declaration&, const Declaration&) = default;
};

} // namespace tarragonhaven
