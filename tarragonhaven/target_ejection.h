#pragma once

#include "util/time.h"

#include <memory>
#include <string_view>

namespace tarragonhaven {

// The ejection state of a target, as one node sees it.
enum class EjectionState {
    Active,
    // Gets no requests until the ejection duration has passed.
    Ejected,
    // Gets a small number of idempotent requests, which show whether it has recovered.
    Probation,
    // Gets a share of requests that grows to its full share.
    Ramp,
};

std::string_view toString(EjectionState state);

// Settings of the ejection state machine. Each ejection that follows an earlier one within
// `backoffResetAfter` doubles the ejection duration, up to `maximumEjectionDuration`.
struct EjectionOptions {
    util::Duration initialEjectionDuration = std::chrono::seconds(5);
    util::Duration maximumEjectionDuration = std::chrono::seconds(160);
    util::Duration backoffResetAfter = std::chrono::seconds(300);
    util::Duration rampDuration = std::chrono::seconds(10);
    // Successes that end the probation.
    int probationSuccesses = 3;
};

// Ejection state of one target as a state machine:
//
//   Active --eject--> Ejected --duration over--> Probation --successes--> Ramp --ramp over--> Active
//   Probation --eject--> Ejected        Ramp --eject--> Ejected        Ejected --reinstate--> Ramp
class TargetEjection {
public:
    explicit TargetEjection(EjectionOptions options = {});
    ~TargetEjection();
    TargetEjection(TargetEjection&&) noexcept;
    TargetEjection& operator=(TargetEjection&&) noexcept;

    // Ejects the target; no effect if it is already ejected.
    void eject(util::Time now);
    // Ends an ejection early, because the floor requires the target.
    void reinstate(util::Time now);
    // Records `count` successful responses; they count only on probation.
    void recordSuccesses(int count, util::Time now);
    // Makes the transitions that depend on time alone.
    void advance(util::Time now);

    [[nodiscard]] EjectionState state() const;
    // Returns the share of its slots for which the target should be used: 0 while ejected, 1 while active.
    [[nodiscard]] double weight(util::Time now) const;
    // Returns the end of the current ejection.
    [[nodiscard]] util::Time ejectionEnd() const;
    [[nodiscard]] int ejectionCount() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
