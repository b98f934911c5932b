#pragma once

namespace tarragonhaven {

// How near the memory that a node holds for its callers is to its bound, in the order in which a node reacts.
// Each level includes the reactions of those below it.
enum class MemoryPressure {
    None,
    // Nothing is read or started ahead of its turn.
    Backpressure,
    // New requests are refused as not run. Connections that have made no progress for some time are closed.
    Refuse,
    // Connections are closed until the memory is below the level Refuse.
    Close,
};

} // namespace tarragonhaven
