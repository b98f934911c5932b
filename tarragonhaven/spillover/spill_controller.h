#pragma once

#include "tarragonhaven/spillover/spill_change.h"
#include "util/time.h"

#include <optional>

namespace tarragonhaven {

// Follows the plans of one service over time. Shares rise fast, so that a burst and the loss of most of a
// data centre are answered within a second, and fall slowly. Changes of less than 0.05 are not put in force,
// so that noise causes none.
//
// A share that is put in force shows at the targets only after requests that began before have ended. The
// controller therefore knows how much of the load that is seen now stems from its shares (sentShares()); a
// plan that reckoned with the shares in force would overshoot.
class SpillController {
public:
    // Follows a plan. Returns the change that it put in force, if any.
    std::optional<SpillChange> update(const SpillInput& input, const SpillPlan& plan, util::Time now);
    // Ends the plan, since nothing fresh is known of the own data centre.
    std::optional<SpillChange> clear(util::Time now);

    // Returns whether there is a plan.
    [[nodiscard]] bool hasPlan() const { return m_hasPlan; }
    // Returns the shares in force of a kind of request.
    [[nodiscard]] const SpillPlan::Shares& sharesOf(SpillKind kind) const;
    [[nodiscard]] const SpillPlan::Shares& totals() const { return m_totals; }
    // Returns the shares of the requests that are running, as they were when these began.
    [[nodiscard]] const SpillPlan::Shares& sentShares() const { return m_sent; }
    [[nodiscard]] double sentShare() const;
    // Returns the data centres that retries of a kind avoid: those that lack capacity, or all others if the
    // bytes of the kind cost more than the wait.
    [[nodiscard]] const std::set<DataCentreName>& avoidedBy(SpillKind kind) const
    {
        return m_staying.contains(kind) ? m_others : m_lacking;
    }

private:
    // Moves what is running towards the shares in force.
    void advanceSent(double lagSeconds, util::Time now);
    // Moves the smoothed shares towards the plan.
    void follow(const SpillPlan& plan, double seconds);
    [[nodiscard]] bool differsEnough(const SpillPlan::Shares& totals, util::Time now) const;

    bool m_hasPlan = false;
    std::map<SpillKind, SpillPlan::Shares> m_smoothed;
    SpillPlan::Shares m_smoothedTotals;
    std::map<SpillKind, SpillPlan::Shares> m_shares;
    SpillPlan::Shares m_totals;
    SpillPlan::Shares m_sent;
    std::set<DataCentreName> m_lacking;
    std::set<DataCentreName> m_others;
    std::set<SpillKind> m_staying;
    util::Time m_changedAt {};
    double m_lagSeconds = 0;
    util::Time m_asOf {};
};

} // namespace tarragonhaven
