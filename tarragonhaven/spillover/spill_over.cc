#include "tarragonhaven/spillover/spill_over.h"

#include <utility>

namespace tarragonhaven {

namespace {

    // The weight of the latest response in the mean size of a route's responses.
    constexpr double responseWeight = 0.1;

} // namespace

std::int64_t SpillOver::expectedBytes(const RouteName& route, const RequestHead& head) const
{
    if (head.hasBody && head.contentLength < 0)
        return -1;
    const auto response = m_responseBytes.find(route);
    return (head.hasBody ? head.contentLength : 0)
        + (response == m_responseBytes.end() ? 0 : static_cast<std::int64_t>(response->second));
}

void SpillOver::recordRefused(const ServiceName& service, util::Time now)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.recordRefused(now);
}

void SpillOver::recordServed(
    const ServiceName& service, const SpillPlacement& placement, const DataCentreName& served, util::Time now)
{
    const auto found = m_services.find(service);
    const auto placed = placement.first.value_or(m_own);
    if (found != m_services.end() && placed != served)
        found->second.recordDiverted(placed, served, now);
}

void SpillOver::recordResponse(const RouteName& route, std::size_t bytes)
{
    if (!m_options.enabled)
        return;
    const auto [mean, added] = m_responseBytes.try_emplace(route, static_cast<double>(bytes));
    if (!added)
        mean->second += responseWeight * (static_cast<double>(bytes) - mean->second);
}

void SpillOver::recordRoundTrip(const DataCentreName& dataCentre, util::Duration elapsed, util::Time now)
{
    if (m_options.enabled)
        m_roundTrips.record(dataCentre, elapsed, now);
}

std::vector<SpillOver::ServiceChange> SpillOver::update(
    const Views& views, const std::set<TargetName>& unreachable, util::Time now)
{
    std::vector<ServiceChange> result;
    std::erase_if(m_services, [now](const auto& item) { return item.second.idle(now); });
    for (auto& [name, service] : m_services) {
        if (!service.isDue(now))
            continue;
        if (auto change = service.update(views(name), unreachable, m_roundTrips, now))
            result.push_back({ name, std::move(*change) });
    }
    return result;
}

} // namespace tarragonhaven
