#pragma once

#include "util/time.h"

#include <compare>
#include <string>
#include <string_view>

namespace tarragonhaven {

// What is known of whether a refused request ran on a target.
enum class RunState {
    // It certainly did not start.
    NotRun,
    // It may have run, wholly or in part.
    Unknown,
    // It ran to its end before; this answer is about a repetition of it.
    Ran,
};

// Why a request got no answer of a target.
enum class RefusalReason {
    MalformedRequest,
    HeaderTooLarge,
    BodyTooLarge,
    VersionUnsupported,
    KeyMissing,
    KeyInQuery,
    KeyNotAccepted,
    KeysMayBeStale,
    RouteUnknown,
    MethodNotRouted,
    RateExceeded,
    LimitUnavailable,
    IdempotencyKeyMissing,
    IdempotencyKeyMalformed,
    IdempotencyKeyExpired,
    IdempotencyKeyInUse,
    IdempotencyKeyCompleted,
    IdempotencyKeyUnknown,
    RecorderUnreachable,
    NoTarget,
    QueueTimeout,
    QueueFull,
    // The guard has no free slot, and the request was not to wait for one.
    NoFreeSlot,
    // The guard holds back requests, since its target fails them.
    TargetSuspect,
    // The target said that it did not run the request.
    TargetShed,
    TargetUnreachable,
    TargetFailed,
    TargetTimeout,
    TargetBadFraming,
    PeerUnreachable,
    PeerLost,
    NotReady,
    Stopping,
};

// A refusal: an outcome that a caller is told instead of a target's answer.
struct Refusal {
    RefusalReason reason = RefusalReason::NotReady;
    RunState run = RunState::NotRun;
    // When the caller may try again; zero when trying again does not help.
    util::Duration retryAfter {};
    // Free text for operators and callers; never holds a key or a body.
    std::string detail;

    friend auto operator<=>(const Refusal&, const Refusal&) = default;
    friend bool operator==(const Refusal&, const Refusal&) = default;
};

// The name of a reason in answers, logs and metrics, in lower case with hyphens.
std::string_view toString(RefusalReason reason);
// The HTTP status of a reason.
int httpStatus(RefusalReason reason);
// The same where statuses are promises: 502 and 504 only for a request that may have run, others only for
// one that has not.
int strictHttpStatus(const Refusal& refusal);
// "not-run", "unknown" or "ran".
std::string_view toString(RunState run);

// The number of reasons; enumerators run from 0 to this less one.
inline constexpr int refusalReasonCount = static_cast<int>(RefusalReason::Stopping) + 1;

} // namespace tarragonhaven
