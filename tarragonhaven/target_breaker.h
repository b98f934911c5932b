#pragma once

#include "util/time.h"

#include <compare>
#include <string_view>

namespace tarragonhaven {

struct BreakerOptions {
    // Weights of what goes wrong; the breaker opens when they add up to 1.
    double hardFailureWeight = 1.0;
    double softFailureWeight = 0.45;
    // What a good answer takes away.
    double successCredit = 0.2;
    util::Duration initialOpenDuration = std::chrono::milliseconds(250);
    // A target counts as sound again 2 s after its last failure, so it is not kept out for longer.
    util::Duration maximumOpenDuration = std::chrono::milliseconds(1600);
    // How long after the opening only idempotent requests are let through, before any other may be a trial.
    util::Duration nonIdempotentProbeDelay = std::chrono::milliseconds(1500);
    // Good answers in a row that close it.
    int closingSuccesses = 2;
};

// What a request showed of its target.
enum class TargetResult {
    Success,
    // The target answered that it failed.
    SoftFailure,
    // The target reset, spoiled or lost its answer, or could not be reached.
    HardFailure,
    // The request ended without evidence: its caller left, or the target was full.
    NoEvidence,
};

// Stops a guard from sending requests to its target while the target fails them. A refusal by the guard is
// certain not to have run, so entries go elsewhere at no risk; a request that must not run twice and fails at
// the target is lost.
//
//   Closed --failures--> Open --time--> Trial --good answers--> Closed
//                          ^----failure----'
//
// On trial one request at a time is let through, an idempotent one if any comes.
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

    // Whether a request may be sent now.
    [[nodiscard]] bool admits(bool idempotent, util::Time now) const;
    // How long until a request may be a trial; zero when it may be sent now.
    [[nodiscard]] util::Duration timeUntilAdmitted(bool idempotent, util::Time now) const;
    // Notes that a request is sent, and returns whether it is a trial. noteResult() follows exactly once.
    bool recordSent();
    void recordResult(TargetResult result, bool probe, util::Time now);

    [[nodiscard]] State state(util::Time now) const;

private:
    void recordSuccess(bool probe);
    void recordFailure(double weight, util::Time now);

    BreakerOptions m_options;
    bool m_closed = true;
    double m_score = 0;
    int m_probesInFlight = 0;
    int m_probeSuccesses = 0;
    util::Duration m_openDuration {};
    util::Time m_openUntil {};
};

std::string_view name(TargetBreaker::State state);

} // namespace tarragonhaven
