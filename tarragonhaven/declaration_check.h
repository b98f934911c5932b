#pragma once

#include "tarragonhaven/declaration.h"
#include "util/error.h"

#include <vector>

// Checks that span several entries of a declaration. Faults of single fields are found by the parser, see
// declaration_parse.h. Every fault has the path of the entry that it belongs to.

namespace tarragonhaven {

// Maximum number of former member sets that an ownership group lists.
inline constexpr std::size_t maximumFormerMemberSets = 3;

// Checks that names and peer addresses in an index are unique, that every name that an entry refers to is
// declared, and that ownership groups and routes are valid.
util::Faults checkIndex(const FleetIndex& index);

// Checks that no two organisations have the same name and that no key digest occurs twice.
util::Faults checkOrganisations(const std::vector<Organisation>& organisations);

// Checks whether a fleet may change from `before` to `after`. The members of an ownership group may change by
// at most one instance. After such a change, the former member sets must be the previous members followed by
// the previous former sets, cut off after maximumFormerMemberSets; otherwise they must not change. Groups are
// matched by name; a group that is new in `after` is not checked.
util::Faults checkTransition(const FleetIndex& before, const FleetIndex& after);

} // namespace tarragonhaven
