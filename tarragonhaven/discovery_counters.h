#pragma once

#include "tarragonhaven/revision.h"
#include "util/time.h"

#include <atomic>
#include <cstdint>

namespace tarragonhaven {

// Counters and state of the store reads. The discovery thread is the only writer; other threads read them
// without locks.
struct DiscoveryCounters {
    // The number of calls to the store by outcome.
    struct Calls {
        std::atomic<std::uint64_t> answered { 0 };
        std::atomic<std::uint64_t> throttled { 0 };
        std::atomic<std::uint64_t> historyGone { 0 };
        std::atomic<std::uint64_t> timedOut { 0 };
        std::atomic<std::uint64_t> failed { 0 };
    };
    Calls calls;
    std::atomic<bool> reachable { false };
    // The boot clock time of the last successful response of the store; zero if there was none.
    std::atomic<util::Duration::rep> lastResponseAt { 0 };
    // The revision of the store up to which all changes are known.
    std::atomic<Revision> asOf { 0 };
    std::atomic<StoreEpoch> epoch { 0 };
    std::atomic<std::uint64_t> recordsRejected { 0 };

    void recordResponse(Revision revision)
    {
        calls.answered.fetch_add(1, std::memory_order_relaxed);
        reachable.store(true, std::memory_order_relaxed);
        lastResponseAt.store(util::BootClock::now().time_since_epoch().count(), std::memory_order_relaxed);
        asOf.store(revision, std::memory_order_relaxed);
    }
};

} // namespace tarragonhaven
