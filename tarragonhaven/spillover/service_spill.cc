#include "tarragonhaven/spillover/service_spill.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // Five plans a second: the fastest rate at which a load digest is asked for.
    constexpr util::Duration planInterval = std::chrono::milliseconds(200);

} // namespace

bool ServiceSpill::isDue(util::Time now) const { return now - m_plannedAt >= planInterval; }

SpillPlan::Shares ServiceSpill::sentShares(util::Time now) const
{
    auto shares = m_controller.sentShares();
    for (const auto& [dataCentre, share] : m_demand.divertedShares(now)) {
        if (dataCentre != m_own)
            shares[dataCentre] = std::max(0.0, shares[dataCentre] + share);
    }
    return shares;
}

std::optional<SpillChange> ServiceSpill::update(const std::vector<TargetView>& views,
    const std::set<TargetName>& unreachable, const RoundTrips& roundTrips, util::Time now)
{
    if (!isDue(now))
        return std::nullopt;
    m_plannedAt = now;
    SpillInput input;
    input.sentShares = sentShares(now);
    double sentShare = 0;
    for (const auto& [dataCentre, share] : input.sentShares)
        sentShare += share;
    bool known = false;
    for (auto& load : m_estimate.estimate(views, { m_own, unreachable, sentShare }, m_demand, now)) {
        input.roundTrips[load.dataCentre] = roundTrips.secondsTo(load.dataCentre);
        if (load.dataCentre != m_own) {
            input.others.push_back(std::move(load));
            continue;
        }
        known = !load.arrivalsPerSecond.empty();
        input.own = std::move(load);
    }
    if (!known)
        return m_controller.clear(now);
    input.demand = m_demand.demand(now);
    input.secondsPerMegabyte = m_options.secondsPerMegabyte;
    return m_controller.update(input, planSpill(input), now);
}

} // namespace tarragonhaven
