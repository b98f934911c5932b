#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <optional>

namespace tarragonhaven {

// What the outcome of an attempt at a target means for its request. These functions decide; EntryExchange
// acts on them.

// When a caller may repeat a request for which there was no target.
inline constexpr util::Duration noTargetRetryAfter = std::chrono::seconds(1);

// Returns what is recorded about the idempotency key of a request that got a refusal.
IdempotencyOutcome outcomeOf(RunState run);

// Returns whether a status means that the target failed the request.
bool isServerError(int status);
// Returns a response with such a status as a refusal.
Refusal failureOf(const ResponseHead& head);

// Returns whether a status tells callers, where HeaderNames::strictRefusals is set, that the request did not
// run and never will.
bool promisesNotRun(int status);
// Returns the refusal that the caller of a request which must not run twice gets in place of the response, or
// nothing if it gets the response. The status of the response would promise that the request did not run. The
// target has not reported that, so the request may have run.
std::optional<Refusal> unprovenStatusRefusal(const ResponseHead& head, const HeaderNames& headerNames);

// Returns the limit of attempts at a request whose latest attempt ended with the refusal.
int attemptLimit(const Refusal& refusal);

// Returns whether the target received the request, so that another attempt counts as a retry.
bool reachedTarget(const Refusal& refusal);

// Returns whether a request was refused because the service has too few slots for all requests.
bool lacksCapacity(RefusalReason reason);

} // namespace tarragonhaven
