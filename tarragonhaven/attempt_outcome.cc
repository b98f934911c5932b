#include "tarragonhaven/attempt_outcome.h"

#include <algorithm>
#include <array>
#include <string>

namespace tarragonhaven {

namespace {

    // Each refusal by a guard costs a network hop, so a request that all guards refuse is given up after this
    // number of attempts.
    constexpr int maximumAttempts = 10;
    constexpr int firstServerErrorStatus = 500;

} // namespace

IdempotencyOutcome outcomeOf(RunState run)
{
    return run == RunState::NotRun ? IdempotencyOutcome::NotRun : IdempotencyOutcome::Unknown;
}

bool isServerError(int status) { return status >= firstServerErrorStatus; }

Refusal failureOf(const ResponseHead& head)
{
    return { RefusalReason::TargetFailed, RunState::Unknown, noTargetRetryAfter,
        "target responded with status " + std::to_string(head.status) };
}

bool promisesNotRun(int status)
{
    static constexpr std::array promises { 408, 421, 429, 503 };
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

std::optional<Refusal> unprovenStatusRefusal(const ResponseHead& head, const HeaderNames& headerNames)
{
    if (!headerNames.strictRefusals || !promisesNotRun(head.status))
        return std::nullopt;
    return Refusal { RefusalReason::TargetFailed, RunState::Unknown, util::Duration {},
        "target responded with status " + std::to_string(head.status)
            + " and did not report that it has not run the request" };
}

// A request that has waited at a target until its data centre was evacuated gets more attempts, to be placed
// elsewhere.
int attemptLimit(const Refusal& refusal)
{
    return refusal.reason == RefusalReason::TargetEvacuated ? 2 * maximumAttempts : maximumAttempts;
}

bool reachedTarget(const Refusal& refusal)
{
    return refusal.run != RunState::NotRun || refusal.reason == RefusalReason::TargetShed;
}

bool lacksCapacity(RefusalReason reason)
{
    return reason == RefusalReason::NoFreeSlot || reason == RefusalReason::QueueFull
        || reason == RefusalReason::QueueTimeout || reason == RefusalReason::NoTarget;
}

} // namespace tarragonhaven
