#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/request_context.h"
#include "tarragonhaven/spillover/service_spill.h"

#include <functional>
#include <map>
#include <vector>

namespace tarragonhaven {

// Spill-over of all services at one entry. Keeps nothing while it is disabled, and nothing for services
// without requests.
class SpillOver {
public:
    using Views = std::function<std::vector<TargetView>(const ServiceName&)>;

    struct ServiceChange {
        ServiceName service;
        SpillChange change;
    };

    SpillOver(DataCentreName own, SpillOptions options)
        : m_own(std::move(own))
        , m_options(options)
    {
    }

    // Records a request and places it.
    template <typename Random>
    SpillPlacement place(const RequestContext& context, const RouteName& route, const RequestHead& head,
        Random& random, util::Time now);
    // Records in which data centre a request was served.
    void recordServed(const ServiceName& service, const SpillPlacement& placement,
        const DataCentreName& served, util::Time now);
    // Records a request of the service that was refused for lack of capacity.
    void recordRefused(const ServiceName& service, util::Time now);
    // Records the size of a response body, which is expected of later responses on the route.
    void recordResponse(const RouteName& route, std::size_t bytes);
    void recordRoundTrip(const DataCentreName& dataCentre, util::Duration elapsed, util::Time now);
    // Makes the plans that are due. Returns the changes of shares that they put in force.
    std::vector<ServiceChange> update(
        const Views& views, const std::set<TargetName>& unreachable, util::Time now);

private:
    // Returns the expected bytes of a request and its response, or -1 if the size of the request is unknown.
    [[nodiscard]] std::int64_t expectedBytes(const RouteName& route, const RequestHead& head) const;

    DataCentreName m_own;
    SpillOptions m_options;
    std::map<ServiceName, ServiceSpill> m_services;
    std::map<RouteName, double> m_responseBytes;
    RoundTrips m_roundTrips;
};

template <typename Random>
SpillPlacement SpillOver::place(const RequestContext& context, const RouteName& route,
    const RequestHead& head, Random& random, util::Time now)
{
    // The bytes of a body of unknown size, as the price sees it.
    constexpr double assumedBytes = 1024 * 1024;
    constexpr double bytesPerMegabyte = 1e6;
    if (!m_options.enabled)
        return {};
    const auto bytes = expectedBytes(route, head);
    const SpillKind kind { bodySizeOf(bytes), context.rank };
    auto& service = m_services.try_emplace(context.service, m_own, m_options).first->second;
    service.recordRequest(
        kind, (bytes < 0 ? assumedBytes : static_cast<double>(bytes)) / bytesPerMegabyte, now);
    return service.place(kind, random);
}

} // namespace tarragonhaven
