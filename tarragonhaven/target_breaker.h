#pragma once

#include "util/time.h"

#include <compare>
#include <string_view>

namespace tarragonhaven {

// Settings of a TargetBreaker.
struct BreakerOptions {
    // Weights of failures; the breaker opens when the score reaches 1.
    double hardFailureWeight = 1.0;
    double softFailureWeight = 0.45;
    // A success lowers the score by this.
    double successCredit = 0.2;
    util::Duration initialOpenDuration = std::chrono::milliseconds(250);
    // Not longer than 1.6 s, since a target counts as healthy again 2 s after its last failure.
    util::Duration maximumOpenDuration = std::chrono::milliseconds(1600);
    // Once half-open, the breaker admits only idempotent requests as probes for this long, then any request.
    util::Duration nonIdempotentProbeDelay = std::chrono::milliseconds(1500);
    // Successful probes in a row that close the breaker.
    int closingSuccesses = 2;
    // A probe counts as successful before its response arrives once it has waited this many times as long as
    // recent failures took, and at least `minimumSurvivalTime`. A failing target mostly fails at once, while
    // a response takes the whole service time, for which the target would get no other request.
    double survivalFactor = 4;
    util::Duration minimumSurvivalTime = std::chrono::milliseconds(40);
};

// What the result of a request shows about its target.
enum class TargetResult {
    Success,
    // The target responded with a failure or timed out.
    SoftFailure,
    // The target reset the connection, sent a malformed response, lost the response, or could not be reached.
    HardFailure,
    // The request ended without evidence: its caller disconnected, or the target was at capacity.
    NoEvidence,
};

// Circuit breaker: stops a guard from sending requests to its target while the target fails them. A request
// that the guard refuses is certain not to have run, so entry nodes can safely retry it at another target; a
// request that is not idempotent and fails at the target is lost.
//
//   Closed --failures--> Open --time--> HalfOpen --successes--> Closed
//                          ^-----failure-----'
//
// In the half-open state, no request is admitted while a probe is at the target. Only idempotent requests are
// admitted at first. If surviving probes close the breaker and a request then fails, it opens for longer than
// before.
class TargetBreaker {
public:
    enum class State {
        Closed,
        Open,
        HalfOpen,
    };

    explicit TargetBreaker(BreakerOptions options = {})
        : m_options(options)
    {
    }

    // Returns whether a request may be sent now.
    [[nodiscard]] bool admits(bool idempotent, util::Time now) const;
    // Returns the time until a request may be sent as a probe; zero if it may be sent now. While a probe is
    // at the target, this is at least the time for which a probe has to survive.
    [[nodiscard]] util::Duration timeUntilAdmitted(bool idempotent, util::Time now) const;
    // Records that a request is sent, and returns whether it is a probe: any request that is sent while the
    // breaker is not closed, including one that bypasses it. recordResult() must follow exactly once.
    bool recordSent();
    // `age` is the time since the request was sent.
    void recordResult(TargetResult result, bool probe, util::Time now, util::Duration age = {});
    // Returns for how long a probe has to wait without failing to count as successful.
    [[nodiscard]] util::Duration survivalTime() const;
    // Records that a probe has waited for survivalTime(). Its result must be recorded as that of a request
    // that is not a probe.
    void recordSurvival();

    [[nodiscard]] State state(util::Time now) const;

private:
    void recordSuccess(bool probe);
    void recordFailure(double weight, util::Time now, util::Duration age);
    // Counts a successful probe, and closes the breaker if it was the last that was needed.
    void countProbeSuccess();

    BreakerOptions m_options;
    bool m_closed = true;
    double m_score = 0;
    int m_probesInFlight = 0;
    int m_probeSuccesses = 0;
    util::Duration m_openDuration {};
    util::Time m_openUntil {};
    // The longest time to a failure; halves with each shorter one.
    util::Duration m_failureTime {};
};

std::string_view toString(TargetBreaker::State state);

} // namespace tarragonhaven
