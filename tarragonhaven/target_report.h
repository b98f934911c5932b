#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace tarragonhaven {

// What a guard tells entries of its target, with every answer and when its state changes. Counters run since
// the guard started, so that a lost report loses nothing; `sequence` orders reports of one incarnation.
struct TargetReport {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    int slots = 0;
    int slotsInUse = 0;
    int waiting = 0;
    bool draining = false;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    // Requests that had waited for their first byte far longer than answers usually take; each is counted
    // once.
    std::uint64_t overdue = 0;
    // Sum of log2 of the microseconds to the first byte, over answers.
    double logLatencySum = 0;
    // Milliseconds since the last good answer; -1 when there was none.
    std::int64_t sinceSuccessMs = -1;
    // Milliseconds for which the guard holds requests back: those that may be repeated, and all others.
    std::int64_t idempotentBlockedMs = 0;
    std::int64_t nonIdempotentBlockedMs = 0;
    MSGPACK_DEFINE_ARRAY(incarnation, sequence, slots, slotsInUse, waiting, draining, answers, failures,
        overdue, logLatencySum, sinceSuccessMs, idempotentBlockedMs, nonIdempotentBlockedMs);

    friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

} // namespace tarragonhaven
