#pragma once

#include "util/time.h"

#include <compare>
#include <string>
#include <string_view>

namespace tarragonhaven {

// Whether a refused request ran on a target, as far as known.
enum class RunState {
    // The request certainly did not start.
    NotRun,
    // The request may have run, completely or in part.
    Unknown,
    // The request ran to completion earlier; the refusal concerns a repetition of it.
    Ran,
};

// Why a request got no response from a target.
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
    // The guard has no free slot, and the request was not allowed to queue for one.
    NoFreeSlot,
    // The guard's breaker holds back requests because the target fails them.
    TargetSuspect,
    // The target responded that it did not run the request.
    TargetShed,
    TargetUnreachable,
    TargetFailed,
    TargetTimeout,
    TargetBadFraming,
    PeerUnreachable,
    PeerLost,
    NotReady,
    Stopping,
    // The request was running at several targets when they crashed.
    CrashesTargets,
    // The target's data centre is evacuated.
    TargetEvacuated,
    // No target of the service is in a region that the request may be sent to.
    RegionNotAllowed,
    // The caller sent the body more slowly than ProgressLimits require.
    BodyTooSlow,
    // The memory that this node holds for callers is near its bound.
    MemoryExhausted,
};

// The outcome that a caller gets instead of a target's response.
struct Refusal {
    RefusalReason reason = RefusalReason::NotReady;
    RunState run = RunState::NotRun;
    // The time after which the caller may retry. Zero if a retry does not help.
    util::Duration retryAfter {};
    // A text for operators and callers. Never contains a key or a body.
    std::string detail;

    friend auto operator<=>(const Refusal&, const Refusal&) = default;
    friend bool operator==(const Refusal&, const Refusal&) = default;
};

// Returns the name of a reason in responses, logs and metrics, in lower case with hyphens.
std::string_view toString(RefusalReason reason);
// Returns the HTTP status of a reason.
int httpStatus(RefusalReason reason);
// Returns the HTTP status of a refusal where the status must state whether the request may have run: 502 and
// 504 are used only for a request that may have run, other statuses only for a request that did not run.
int strictHttpStatus(const Refusal& refusal);
// Returns "not-run", "unknown" or "ran".
std::string_view toString(RunState run);

// The number of reasons. The values of the enumerators range from 0 to refusalReasonCount - 1.
inline constexpr int refusalReasonCount = static_cast<int>(RefusalReason::MemoryExhausted) + 1;

} // namespace tarragonhaven
