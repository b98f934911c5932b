#pragma once

#include "tarragonhaven/revision.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>

namespace tarragonhaven {

// State of a target that its guard reports to entry nodes, with every response and when the state changes.
// Counters are cumulative since the start of the guard, so a lost report loses no counts; `sequence` orders
// the reports of one incarnation. Sent as a msgpack array: the order, number and types of the fields are part
// of the protocol.
struct TargetReport {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    int slots = 0;
    int slotsInUse = 0;
    int waiting = 0;
    bool draining = false;
    // Successful responses, and failures.
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    // Requests that had waited for their first byte far longer than responses usually take; each is counted
    // once.
    std::uint64_t overdue = 0;
    // Sum over `successes` of log2 of the microseconds to the first byte.
    double logLatencySum = 0;
    // Milliseconds since the last success; -1 if there was none.
    std::int64_t sinceSuccessMs = -1;
    // Milliseconds for which the breaker of the guard keeps refusing requests: idempotent ones, and all
    // others.
    std::int64_t idempotentBlockedMs = 0;
    std::int64_t nonIdempotentBlockedMs = 0;
    // The start time of the target that the report describes.
    std::int64_t startTimeMs = 0;
    // Whether a response has shown to this incarnation of the guard if the target names a limit, and the
    // limit that the guard keeps, in requests per second, if any.
    bool limitKnown = false;
    std::optional<double> requestLimit;
    // Whether the target has announced to this incarnation of the guard that it is about to stop.
    bool announcedLeaving = false;
    // Milliseconds until the limit, or the pace of a cold target, admits one more request after those that
    // wait.
    std::int64_t limitedMs = 0;
    // Set if the guard refuses requests because the target's data centre is evacuated: the position in the
    // store's history as of which it is.
    std::optional<StorePosition> evacuatedAsOf;
    // While the target is cold: the requests per second that the guard sends it, and the milliseconds for
    // which it remains cold.
    std::optional<double> coldPace;
    std::int64_t coldMs = 0;
    MSGPACK_DEFINE_ARRAY(incarnation, sequence, slots, slotsInUse, waiting, draining, successes, failures,
        overdue, logLatencySum, sinceSuccessMs, idempotentBlockedMs, nonIdempotentBlockedMs, startTimeMs,
        limitKnown, requestLimit, announcedLeaving, limitedMs, evacuatedAsOf, coldPace, coldMs);

    friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

} // namespace tarragonhaven
