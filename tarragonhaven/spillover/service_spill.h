#pragma once

#include "tarragonhaven/spillover/load_estimate.h"
#include "tarragonhaven/spillover/round_trips.h"
#include "tarragonhaven/spillover/spill_controller.h"
#include "tarragonhaven/spillover/spill_options.h"
#include "tarragonhaven/spillover/spill_placement.h"

#include <random>
#include <set>
#include <vector>

namespace tarragonhaven {

// Spill-over of one service at one entry: measures its requests, estimates the load of the data centres,
// plans and places requests. Without a plan a placement says nothing, and the choice of targets decides by
// itself.
class ServiceSpill {
public:
    ServiceSpill(DataCentreName own, SpillOptions options)
        : m_own(std::move(own))
        , m_options(options)
    {
    }

    void recordRequest(SpillKind kind, double megabytes, util::Time now)
    {
        m_demand.recordRequest(kind, megabytes, now);
    }
    void recordDiverted(const DataCentreName& placed, const DataCentreName& served, util::Time now)
    {
        m_demand.recordDiverted(placed, served, now);
    }
    void recordRefused(util::Time now) { m_demand.recordRefused(now); }
    // Makes a new plan, if the last one is at least 0.2 s old. Returns the change that it put in force, if
    // any.
    std::optional<SpillChange> update(const std::vector<TargetView>& views,
        const std::set<TargetName>& unreachable, const RoundTrips& roundTrips, util::Time now);
    // Returns whether a plan is due: there were requests lately, and the last plan is old enough.
    [[nodiscard]] bool isDue(util::Time now) const;
    // Returns whether there were no requests for a while, so that nothing is to be kept.
    [[nodiscard]] bool idle(util::Time now) const { return m_demand.idle(now); }

    // Draws the data centre of a request's first attempt.
    template <typename Random> [[nodiscard]] SpillPlacement place(SpillKind kind, Random& random) const;
    [[nodiscard]] const SpillController& controller() const { return m_controller; }

private:
    // Returns the shares of requests that run in other data centres, placed there or diverted.
    [[nodiscard]] SpillPlan::Shares sentShares(util::Time now) const;

    DataCentreName m_own;
    SpillOptions m_options;
    DemandMeter m_demand;
    LoadEstimate m_estimate;
    SpillController m_controller;
    util::Time m_plannedAt {};
};

template <typename Random> SpillPlacement ServiceSpill::place(SpillKind kind, Random& random) const
{
    if (!m_controller.hasPlan())
        return {};
    SpillPlacement placement { m_own, m_controller.avoidedBy(kind) };
    double remaining = std::uniform_real_distribution<double>(0, 1)(random);
    for (const auto& [dataCentre, share] : m_controller.sharesOf(kind)) {
        remaining -= share;
        if (remaining < 0) {
            placement.first = dataCentre;
            break;
        }
    }
    return placement;
}

} // namespace tarragonhaven
