#pragma once

#include "util/time.h"

#include <memory>
#include <string_view>

namespace tarragonhaven {

// How far one node trusts a target.
enum class EjectionState {
    Active,
    // Gets no requests until its hold-off has passed.
    Ejected,
    // Gets a trickle of idempotent requests, to show whether it has recovered.
    Probation,
    // Gets a share of requests that grows to the full share.
    Ramp,
};

std::string_view name(EjectionState state);

// The standing of one target as a state machine:
//
//   Active --condemn--> Ejected --hold-off over--> Probation --proved--> Ramp --ramp over--> Active
//   Probation --condemn--> Ejected        Ramp --condemn--> Ejected        Ejected --reinstate--> Ramp
//
// Each ejection that follows an earlier one within `forgetAfter` doubles the hold-off, up to
// `longestHoldoff`.
struct EjectionOptions {
    util::Duration initialEjectionDuration = std::chrono::seconds(5);
    util::Duration maximumEjectionDuration = std::chrono::seconds(160);
    util::Duration backoffResetAfter = std::chrono::seconds(300);
    util::Duration rampDuration = std::chrono::seconds(10);
    // Answers without a failure that end a probation.
    int probationSuccesses = 3;
};

class TargetEjection {
public:
    explicit TargetEjection(EjectionOptions options = {});
    ~TargetEjection();
    TargetEjection(TargetEjection&&) noexcept;
    TargetEjection& operator=(TargetEjection&&) noexcept;

    void eject(util::Time now);
    // Ends an ejection early, since the floor needs the target.
    void reinstate(util::Time now);
    // Notes good answers; they count in probation only.
    void recordSuccesses(int answers, util::Time now);
    // Moves on by time alone.
    void advance(util::Time now);

    [[nodiscard]] EjectionState state() const;
    // The share of its slots that the target should be used for: 0 while ejected, 1 when active.
    [[nodiscard]] double weight(util::Time now) const;
    // The end of the hold-off in force.
    [[nodiscard]] util::Time ejectionEnd() const;
    [[nodiscard]] int ejectionCount() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
