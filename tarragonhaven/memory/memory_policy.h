#pragma once

#include "tarragonhaven/memory/connection_stage.h"
#include "tarragonhaven/memory/memory_pressure.h"
#include "util/time.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// Decides what a node does when the memory that it holds for its callers nears the bound, see MemoryPressure.
// Those that hold most and progress least are closed first.

// What one connection holds, and for how long it has made no progress.
struct ConnectionUse {
    std::size_t heldBytes = 0;
    // What all connections of the same organisation hold.
    std::size_t organisationBytes = 0;
    ConnectionStage stage = ConnectionStage::New;
    util::Duration stalled {};
};

// Returns whether a request that has just been read is refused.
[[nodiscard]] bool refusesRequest(MemoryPressure pressure, bool hasBody);

// Returns the indices of the connections to be closed, in this order, to free a number of bytes. Does not
// close connections that hold next to nothing, nor, below the level Close, those that have made progress
// within the last second or that run a request.
[[nodiscard]] std::vector<std::size_t> connectionsToClose(
    const std::vector<ConnectionUse>& uses, MemoryPressure pressure, std::size_t bytesToFree);

// Returns the name of a level in logs, in lower case.
std::string_view toString(MemoryPressure pressure);

} // namespace tarragonhaven
