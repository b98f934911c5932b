#pragma once

#include "tarragonhaven/fleet_policy.h"
#include "tarragonhaven/limits/sum_history.h"
#include "util/time.h"

namespace tarragonhaven {

// How many retries the nodes may take together for a service in a window: a share of the requests in this
// window, in the window before or in the window that ended half a window ago, whichever has most, plus a
// fixed number. A part is kept back for nested requests of repeated runs, which count as retries but are not
// refused: as many as are expected in the rest of the window at their present rate.
class RetryAllowance {
public:
    explicit RetryAllowance(const FleetPolicy& policy)
        : m_policy(policy)
        , m_requests(policy.retryWindow)
        , m_nestedRepeats(policy.retryWindow)
    {
    }

    // Records the requests and the nested repeats of the service in the window that ends now, and returns the
    // allowance. `slack` is the fixed number.
    double update(double requests, double nestedRepeats, double slack, util::Time now);
    // Uses no earlier windows than the present one. Must be called when nodes cease to report: they may use
    // the allowance for their own requests without this node.
    void forget();

    [[nodiscard]] util::Time updatedAt() const { return m_updatedAt; }

private:
    [[nodiscard]] double expectedNestedRepeats(double nestedRepeats, util::Time now) const;

    FleetPolicy m_policy;
    SumHistory m_requests;
    SumHistory m_nestedRepeats;
    util::Time m_updatedAt {};
};

} // namespace tarragonhaven
