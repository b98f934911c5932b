#pragma once

#include "tarragonhaven/memory/connection_stage.h"
#include "tarragonhaven/pipelining/close_reason.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace tarragonhaven {

// Counters of the connections that are accepted at one port. Written by the thread of the port, read by the
// thread that writes the metrics page.
struct PortCounters {
    std::atomic<std::uint64_t> open { 0 };
    std::atomic<std::uint64_t> limit { 0 };
    std::atomic<bool> paused { false };
    std::atomic<std::uint64_t> accepted { 0 };
    std::atomic<std::uint64_t> pauses { 0 };
    // Connections that were closed to make room for new ones, by their stage.
    std::array<std::atomic<std::uint64_t>, connectionStageCount> closedForRoom {};
    // New connections that were closed at once, because their address had its number of connections, or
    // because no descriptor was left beside the reserve.
    std::atomic<std::uint64_t> refusedByAddress { 0 };
    std::atomic<std::uint64_t> refusedByDescriptors { 0 };
    std::atomic<std::uint64_t> acceptFailures { 0 };
    // Connections of callers that have ended, by reason.
    std::array<std::atomic<std::uint64_t>, closeReasonCount> ends {};
};

} // namespace tarragonhaven
