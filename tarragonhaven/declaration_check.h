#pragma once

#include "tarragonhaven/declaration.h"
#include "util/error.h"

#include <vector>

namespace tarragonhaven {

// How many former member sets an ownership group keeps.
inline constexpr std::size_t maximumFormerMemberSets = 3;

// Checks the references between the parts of an index: names are unique, and what is named exists.
util::Faults checkIndex(const FleetIndex& index);

// Checks that names and key digests are unique among `organisations`.
util::Faults checkOrganisations(const std::vector<Organisation>& organisations);

// Checks that a fleet may go from `before` to `after`: an ownership group's members change by one instance at
// a time, and the member sets that it leaves behind are listed.
util::Faults checkTransition(const FleetIndex& before, const FleetIndex& after);

} // namespace tarragonhaven
