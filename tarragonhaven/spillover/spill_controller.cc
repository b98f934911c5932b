#include "tarragonhaven/spillover/spill_controller.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    // Time constants. With a plan every 0.2 s, two thirds of a rise are in force after 0.4 s.
    constexpr double riseSeconds = 0.3;
    constexpr double fallSeconds = 2;
    // The least change of a share that is put in force.
    constexpr double leastChange = 0.05;
    // Within this time after a change, only a larger one is put in force, which bounds the log.
    constexpr util::Duration changeInterval = std::chrono::seconds(2);
    constexpr double leastQuickChange = 0.15;
    // A share below this is 0.
    constexpr double negligibleShare = 0.02;
    // No longer time counts as having passed between two plans.
    constexpr double maximumStepSeconds = 1;

    double valueOf(const SpillPlan::Shares& shares, const DataCentreName& dataCentre)
    {
        const auto found = shares.find(dataCentre);
        return found == shares.end() ? 0 : found->second;
    }

    void moveTowards(SpillPlan::Shares& shares, const SpillPlan::Shares& goal, double seconds)
    {
        for (const auto& [dataCentre, share] : goal)
            shares.try_emplace(dataCentre, 0);
        for (auto& [dataCentre, share] : shares) {
            const double wanted = valueOf(goal, dataCentre);
            const double constant = wanted > share ? riseSeconds : fallSeconds;
            share += (wanted - share) * (1 - std::exp(-seconds / constant));
        }
        std::erase_if(shares, [&goal](const auto& item) {
            return item.second < negligibleShare && valueOf(goal, item.first) < negligibleShare;
        });
        // A rise there that is faster than the fall here must not add up to more than all requests.
        double sum = 0;
        for (const auto& [dataCentre, share] : shares)
            sum += share;
        for (auto& [dataCentre, share] : shares)
            share /= std::max(1.0, sum);
    }

} // namespace

const SpillPlan::Shares& SpillController::sharesOf(SpillKind kind) const
{
    static const SpillPlan::Shares none;
    const auto found = m_shares.find(kind);
    return found == m_shares.end() ? none : found->second;
}

double SpillController::sentShare() const
{
    double sum = 0;
    for (const auto& [dataCentre, share] : m_sent)
        sum += share;
    return sum;
}

void SpillController::advanceSent(double lagSeconds, util::Time now)
{
    const double seconds = std::min(maximumStepSeconds, util::toSeconds(now - m_asOf));
    const double weight = lagSeconds > 0 ? 1 - std::exp(-seconds / lagSeconds) : 1;
    for (const auto& [dataCentre, share] : m_totals)
        m_sent.try_emplace(dataCentre, 0);
    for (auto& [dataCentre, share] : m_sent)
        share += weight * (valueOf(m_totals, dataCentre) - share);
    std::erase_if(m_sent, [this](const auto& item) {
        return item.second < negligibleShare / 2 && !m_totals.contains(item.first);
    });
}

void SpillController::follow(const SpillPlan& plan, double seconds)
{
    for (const auto& [kind, shares] : plan.shares)
        m_smoothed.try_emplace(kind);
    for (auto& [kind, shares] : m_smoothed) {
        const auto goal = plan.shares.find(kind);
        moveTowards(shares, goal == plan.shares.end() ? SpillPlan::Shares {} : goal->second, seconds);
    }
    moveTowards(m_smoothedTotals, plan.totals, seconds);
    // The totals decide what is put in force, so that a kind of which there are few requests must not keep a
    // share that has no part in them.
    for (auto& [kind, shares] : m_smoothed)
        std::erase_if(shares, [this](const auto& item) { return !m_smoothedTotals.contains(item.first); });
    std::erase_if(m_smoothed, [](const auto& item) { return item.second.empty(); });
}

bool SpillController::differsEnough(const SpillPlan::Shares& totals, util::Time now) const
{
    const double least = now - m_changedAt < changeInterval ? leastQuickChange : leastChange;
    const auto differs = [this, &totals, least](const auto& item) {
        const double before = valueOf(m_totals, item.first);
        const double after = valueOf(totals, item.first);
        const bool ends = before > 0 && after <= 0;
        return ends || std::abs(after - before) >= least;
    };
    return std::any_of(totals.begin(), totals.end(), differs)
        || std::any_of(m_totals.begin(), m_totals.end(), differs);
}

std::optional<SpillChange> SpillController::update(
    const SpillInput& input, const SpillPlan& plan, util::Time now)
{
    m_lagSeconds = input.own.meanHoldSeconds + util::toSeconds(input.own.age);
    advanceSent(m_lagSeconds, now);
    follow(plan, std::min(maximumStepSeconds, util::toSeconds(now - m_asOf)));
    m_asOf = now;
    m_hasPlan = true;
    m_lacking = plan.lacking;
    m_staying = plan.staying;
    m_others.clear();
    for (const auto& other : input.others)
        m_others.insert(other.dataCentre);
    if (!differsEnough(m_smoothedTotals, now))
        return std::nullopt;
    m_changedAt = now;
    SpillChange change { m_totals, m_smoothedTotals,
        plan.lackingSlots > 0 ? "lacks capacity" : "has capacity", input, plan };
    m_totals = m_smoothedTotals;
    m_shares = m_smoothed;
    return change;
}

std::optional<SpillChange> SpillController::clear(util::Time now)
{
    advanceSent(m_lagSeconds, now);
    m_asOf = now;
    std::optional<SpillChange> change;
    if (!m_totals.empty())
        change = SpillChange { m_totals, {}, "no fresh knowledge", std::nullopt, {} };
    m_hasPlan = false;
    m_smoothed.clear();
    m_smoothedTotals.clear();
    m_shares.clear();
    m_totals.clear();
    m_lacking.clear();
    m_others.clear();
    m_staying.clear();
    return change;
}

} // namespace tarragonhaven
