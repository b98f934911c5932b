#pragma once

#include <atomic>

namespace tarragonhaven {

// What the threads of a node share besides rings: flags that each have one writer.
struct NodeState {
    // Set by the traffic thread: requests are taken.
    std::atomic<bool> ready { false };
    // Set by the traffic thread: nothing is under way any more.
    std::atomic<bool> drained { false };
};

} // namespace tarragonhaven
