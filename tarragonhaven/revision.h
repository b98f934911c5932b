#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace tarragonhaven {

// The number that the platform assigned to a published FleetIndex. A larger number is newer; 0 means no
// index.
using Revision = std::uint64_t;

// The number of times that a store has been restored from a copy, as the store counts them. A restored store
// gives out revisions again, so only revisions of one epoch can be compared. 0 if the store does not say.
using StoreEpoch = std::uint64_t;

// A position in the history of a store. Positions are ordered across restores: whatever was read in a later
// epoch is newer.
struct StorePosition {
    StoreEpoch epoch = 0;
    Revision revision = 0;
    MSGPACK_DEFINE_ARRAY(epoch, revision);

    friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
    friend bool operator==(const StorePosition&, const StorePosition&) = default;
};

} // namespace tarragonhaven
