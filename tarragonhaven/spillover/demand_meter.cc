#include "tarragonhaven/spillover/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    constexpr double averagingSeconds = 1;
    // Sums below this are dropped: a single request counts for 5 s.
    constexpr double negligibleRequests = 0.01;
    // Requests that are assumed to have been served, so that the first refusal does not count as a share
    // of 1.
    constexpr double assumedServed = 5;

} // namespace

double DemandMeter::decaySince(util::Time now) const
{
    return std::exp(-std::max(0.0, util::toSeconds(now - m_asOf)) / averagingSeconds);
}

void DemandMeter::advance(util::Time now)
{
    const double decay = decaySince(now);
    m_asOf = std::max(m_asOf, now);
    m_refused *= decay;
    for (auto& [dataCentre, diverted] : m_diverted)
        diverted *= decay;
    std::erase_if(m_diverted, [](const auto& item) { return std::abs(item.second) < negligibleRequests; });
    for (auto& [kind, sum] : m_sums)
        sum = { sum.requests * decay, sum.megabytes * decay };
    std::erase_if(m_sums, [](const auto& item) { return item.second.requests < negligibleRequests; });
}

void DemandMeter::recordRequest(SpillKind kind, double megabytes, util::Time now)
{
    advance(now);
    auto& sum = m_sums[kind];
    sum.requests += 1;
    sum.megabytes += megabytes;
}

void DemandMeter::recordRefused(util::Time now)
{
    advance(now);
    m_refused += 1;
}

void DemandMeter::recordDiverted(const DataCentreName& placed, const DataCentreName& served, util::Time now)
{
    advance(now);
    m_diverted[placed] -= 1;
    m_diverted[served] += 1;
}

std::map<SpillKind, KindDemand> DemandMeter::demand(util::Time now) const
{
    const double decay = decaySince(now);
    std::map<SpillKind, KindDemand> result;
    for (const auto& [kind, sum] : m_sums)
        result[kind] = { sum.requests * decay / averagingSeconds, sum.megabytes / sum.requests };
    return result;
}

double DemandMeter::refusedShare(util::Time now) const
{
    return std::min(1.0, m_refused * decaySince(now) / requests(now));
}

std::map<DataCentreName, double> DemandMeter::divertedShares(util::Time now) const
{
    std::map<DataCentreName, double> result;
    for (const auto& [dataCentre, diverted] : m_diverted)
        result[dataCentre] = std::clamp(diverted * decaySince(now) / requests(now), -1.0, 1.0);
    return result;
}

double DemandMeter::requests(util::Time now) const
{
    double sum = assumedServed;
    for (const auto& [kind, ofKind] : m_sums)
        sum += ofKind.requests * decaySince(now);
    return sum;
}

bool DemandMeter::idle(util::Time now) const
{
    const double decay = decaySince(now);
    return std::none_of(m_sums.begin(), m_sums.end(),
        [decay](const auto& item) { return item.second.requests * decay >= negligibleRequests; });
}

} // namespace tarragonhaven
