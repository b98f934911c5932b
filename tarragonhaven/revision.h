#pragma once

#include <cstdint>

namespace tarragonhaven {

// The number that the platform assigned to a published FleetIndex. A larger number is newer; 0 means no
// index.
using Revision = std::uint64_t;

// The number of times that a store has been restored from a copy, as the store counts them. A restored store
// gives out revisions again, so only revisions of one epoch can be compared. 0 if the store does not say.
using StoreEpoch = std::uint64_t;

} // namespace tarragonhaven
