#pragma once

#include "tarragonhaven/memory/connection_counters.h"

#include <atomic>

namespace tarragonhaven {

// Flags and counters that the threads of a node share directly instead of through rings. Only one thread
// writes each of them.
struct NodeState {
    // Whether requests are accepted. Written by the traffic thread.
    std::atomic<bool> ready { false };
    // Whether a planned stop is complete: nothing is in progress any more, or the drain timeout has passed.
    // Written by the traffic thread.
    std::atomic<bool> drained { false };
    ConnectionCounters connections;
};

} // namespace tarragonhaven
