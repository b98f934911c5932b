#pragma once

#include "tarragonhaven/testing/client_flood_fleet.h"
#include "tarragonhaven/testing/client_flood_usage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

namespace tarragonhaven::testing {

// A process may use the memory of the smallest machine, 160 MB, and with few callers less: 20 MB with 6 and
// 40 MB with 60.
inline constexpr long floodMachineKb = 160 * 1024;
inline constexpr int floodFewCallers = 6;
inline constexpr long floodFewCallersKb = 20 * 1024;
inline constexpr int floodCallers = 60;
inline constexpr long floodCallersKb = 40 * 1024;
// The crowd of the patterns that cost a caller little. The bound is that of the machine.
inline constexpr int floodLargeCrowd = 1000;
// The descriptors that a node reserves for its own use. Beyond these it needs one for each connection.
inline constexpr int floodReservedDescriptors = 200;

#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define TARRAGONHAVEN_FLOOD_SANITIZED
#endif
#endif
// A sanitizer's own memory counts as that of the process, so memory is not compared with its bounds then.
#ifdef TARRAGONHAVEN_FLOOD_SANITIZED
inline constexpr bool floodMemoryIsChecked = false;
#else
inline constexpr bool floodMemoryIsChecked = true;
#endif

struct FloodBounds {
    int connections = floodCallers;
    long memoryKb = floodCallersKb;
    // The time that the flood lasts at least, so that servers that answer it without end have time to do so.
    std::chrono::milliseconds minimumTime { 1500 };
};

inline constexpr auto floodMaximumTime = std::chrono::milliseconds(4000);

// Waits until the flood has sent what the server takes: until no connection sends as fast as it can any more
// or nothing was sent for half a second, but at least the time of the bounds and at most floodMaximumTime.
// Returns the highest number of descriptors that a process had open meanwhile.
inline int awaitFlood(const ClientFlood& flood, const FloodFleet& fleet, const FloodBounds& bounds = {})
{
    using Clock = std::chrono::steady_clock;
    constexpr auto stalled = std::chrono::milliseconds(500);
    const auto start = Clock::now();
    auto lastProgress = start;
    std::size_t sentBytes = 0;
    int descriptors = 0;
    while (Clock::now() < start + floodMaximumTime) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        for (auto* process : fleet.processes())
            descriptors = std::max(descriptors, openDescriptors(process->pid()));
        const auto now = Clock::now();
        if (flood.sentBytes() != sentBytes)
            lastProgress = now;
        sentBytes = flood.sentBytes();
        if (now >= start + bounds.minimumTime && (flood.sending() == 0 || now >= lastProgress + stalled))
            break;
    }
    return descriptors;
}

// Checks that each process lives and that its memory has never exceeded the bound.
inline void checkProcesses(const FloodFleet& fleet, long memoryKb)
{
    for (auto* process : fleet.processes()) {
        CHECK_FALSE(process->exitStatus());
        const auto peakKb = memoryUsage(process->pid()).peakKb;
        if (floodMemoryIsChecked)
            CHECK(peakKb < memoryKb);
    }
}

// Floods a server of the fleet and checks that all processes live, that their memory and their descriptors
// stay under the bounds, and that an ordinary request is answered after the flood.
inline void checkFlood(
    FloodFleet& fleet, const Endpoint& server, const FloodPattern& pattern, const FloodBounds& bounds = {})
{
    REQUIRE(fleet.awaitReady());
    int descriptors = 0;
    {
        const ClientFlood flood(server, bounds.connections, pattern);
        descriptors = awaitFlood(flood, fleet, bounds);
        INFO("connected: " << flood.connected() << ", bytes sent: " << flood.sentBytes()
                           << ", read: " << flood.receivedBytes());
        CHECK(flood.connected() > 0);
        checkProcesses(fleet, bounds.memoryKb);
        CHECK(descriptors <= bounds.connections + floodReservedDescriptors);
    }
    CHECK(FloodFleet::serves(1));
    checkProcesses(fleet, bounds.memoryKb);
}

} // namespace tarragonhaven::testing
