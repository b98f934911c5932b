#include "tarragonhaven/refusal.h"

#include "util/check.h"

#include <array>

namespace tarragonhaven {

namespace {

    struct ReasonRow {
        RefusalReason reason;
        std::string_view name;
        int status;
    };

    constexpr std::array<ReasonRow, refusalReasonCount> reasonRows { {
        { RefusalReason::MalformedRequest, "malformed-request", 400 },
        { RefusalReason::HeaderTooLarge, "header-too-large", 431 },
        { RefusalReason::BodyTooLarge, "body-too-large", 413 },
        { RefusalReason::VersionUnsupported, "version-unsupported", 505 },
        { RefusalReason::KeyMissing, "key-missing", 401 },
        { RefusalReason::KeyInQuery, "key-in-query", 400 },
        { RefusalReason::KeyNotAccepted, "key-not-accepted", 401 },
        { RefusalReason::KeysMayBeStale, "keys-may-be-stale", 503 },
        { RefusalReason::RouteUnknown, "route-unknown", 404 },
        { RefusalReason::MethodNotRouted, "method-not-routed", 405 },
        { RefusalReason::RateExceeded, "rate-exceeded", 429 },
        { RefusalReason::LimitUnavailable, "limit-unavailable", 503 },
        { RefusalReason::IdempotencyKeyMissing, "identity-missing", 428 },
        { RefusalReason::IdempotencyKeyMalformed, "identity-malformed", 400 },
        { RefusalReason::IdempotencyKeyExpired, "identity-expired", 409 },
        { RefusalReason::IdempotencyKeyInUse, "identity-in-use", 409 },
        { RefusalReason::IdempotencyKeyCompleted, "identity-completed", 409 },
        { RefusalReason::IdempotencyKeyUnknown, "identity-unknown", 409 },
        { RefusalReason::RecorderUnreachable, "recorder-unreachable", 503 },
        { RefusalReason::NoTarget, "no-target", 503 },
        { RefusalReason::QueueTimeout, "queue-timeout", 503 },
        { RefusalReason::QueueFull, "queue-full", 503 },
        { RefusalReason::NoFreeSlot, "no-free-slot", 503 },
        { RefusalReason::TargetSuspect, "target-suspect", 503 },
        { RefusalReason::TargetShed, "target-shed", 503 },
        { RefusalReason::TargetUnreachable, "target-unreachable", 502 },
        { RefusalReason::TargetFailed, "target-failed", 502 },
        { RefusalReason::TargetTimeout, "target-timeout", 504 },
        { RefusalReason::TargetBadFraming, "target-bad-framing", 502 },
        { RefusalReason::PeerUnreachable, "peer-unreachable", 502 },
        { RefusalReason::PeerLost, "peer-lost", 502 },
        { RefusalReason::NotReady, "not-ready", 503 },
        { RefusalReason::Stopping, "stopping", 503 },
        { RefusalReason::CrashesTargets, "crashes-targets", 503 },
        { RefusalReason::TargetEvacuated, "target-evacuated", 503 },
        { RefusalReason::RegionNotAllowed, "region-not-allowed", 503 },
        { RefusalReason::BodyTooSlow, "body-too-slow", 408 },
        { RefusalReason::MemoryExhausted, "memory-exhausted", 503 },
    } };

    const ReasonRow& rowOf(RefusalReason reason)
    {
        const auto index = static_cast<std::size_t>(reason);
        TARRAGONHAVEN_CHECK(
            index < reasonRows.size(), "a refusal reason must be an enumerator of RefusalReason");
        TARRAGONHAVEN_CHECK(reasonRows[index].reason == reason,
            "reasonRows must list the reasons in the order of RefusalReason");
        return reasonRows[index];
    }

} // namespace

std::string_view toString(RefusalReason reason) { return rowOf(reason).name; }

int httpStatus(RefusalReason reason) { return rowOf(reason).status; }

int strictHttpStatus(const Refusal& refusal)
{
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    const int status = httpStatus(refusal.reason);
    if (refusal.run == RunState::NotRun)
        return status == badGateway ? unavailable : status;
    return status < badGateway || status == unavailable ? badGateway : status;
}

std::string_view toString(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

} // namespace tarragonhaven
