#pragma once

#include "tarragonhaven/revision.h"
#include "util/time.h"

#include <atomic>
#include <cstdint>

namespace tarragonhaven {

// What the discovery thread counts, for other threads to read. Each has one writer.
struct DiscoveryCounters {
    struct Calls {
        std::atomic<std::uint64_t> answered { 0 };
        std::atomic<std::uint64_t> throttled { 0 };
        std::atomic<std::uint64_t> historyGone { 0 };
        std::atomic<std::uint64_t> failed { 0 };
    };
    Calls calls;
    std::atomic<bool> reachable { false };
    // When the store last answered; zero when it has not.
    std::atomic<util::Duration::rep> lastAnswerAt { 0 };
    // Up to which revision the store's content is known.
    std::atomic<Revision> asOf { 0 };
    std::atomic<std::uint64_t> recordsRejected { 0 };

    void recordAnswer(Revision revision)
    {
        calls.answered.fetch_add(1, std::memory_order_relaxed);
        reachable.store(true, std::memory_order_relaxed);
        lastAnswerAt.store(util::BootClock::now().time_since_epoch().count(), std::memory_order_relaxed);
        asOf.store(revision, std::memory_order_relaxed);
    }
};

} // namespace tarragonhaven
