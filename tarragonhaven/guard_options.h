#pragma once

#include "tarragonhaven/attempt_record.h"
#include "tarragonhaven/evacuation/cold_pace.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/request_fingerprint.h"
#include "tarragonhaven/target_breaker.h"
#include "util/time.h"

#include <functional>
#include <memory>
#include <optional>

namespace tarragonhaven {

class GuardedTarget;

// Settings of a guard. The defaults are for fleets that run from a declaration of their own, without a
// platform adapter.
struct GuardOptions {
    HeaderNames headerNames;
    // Stops sending requests to a target that fails them; if not set, only the entry nodes react to failures.
    std::optional<BreakerOptions> breaker;
    // Whether a request is refused at once if the queue is so long that it is expected to miss its deadline.
    bool refusePredictedTimeouts = false;
    // The share of the time until the queue timeout that a request may be expected to need for its wait and
    // its response. Below 1, requests that were queued are seldom refused later, and mostly served in time.
    // Requests without a queue timeout may wait until their deadline.
    double predictedTimeShare = 1;
    // Whether a response with neither Content-Length nor chunked encoding is accepted; it then ends with its
    // connection.
    bool allowUnframedResponses = false;
    // How many requests a cold target may get beyond those that it tolerates.
    ColdPaceBound coldPace;
    // Closes a connection on which the target has acknowledged nothing, neither data nor keep-alive probes,
    // for this long; zero leaves the limit to the operating system.
    util::Duration unresponsiveTimeout {};
    util::Duration connectTimeout = std::chrono::seconds(1);
    // Longest time that a connection may have been idle and still be reused: for idempotent requests, and for
    // all others.
    util::Duration maximumIdleTime = std::chrono::seconds(30);
    util::Duration maximumIdleTimeNonIdempotent = std::chrono::milliseconds(500);
    // Called with the record of each attempt at a guarded target when the attempt ends; may be empty.
    std::function<void(const AttemptRecord&)> onAttempt;
    // Called when the connection of a request that was sent to a target is lost, and when a target has
    // answered a request completely; may be empty. A Guard sets them.
    std::function<void(const std::shared_ptr<GuardedTarget>&, RequestFingerprint)> onConnectionLost;
    std::function<void(RequestFingerprint)> onAnswered;
};

} // namespace tarragonhaven
