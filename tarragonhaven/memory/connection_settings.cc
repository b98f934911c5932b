#include "tarragonhaven/memory/connection_settings.h"

#include "tarragonhaven/settings_checks.h"

namespace tarragonhaven {

namespace {

    constexpr double maximumConnections = 1'000'000;
    constexpr double minimumAddressShare = 0.01;
    // The log, the listening sockets, the timers and a few links.
    constexpr double minimumReserve = 32;

} // namespace

ConnectionSettings parseConnectionSettings(const RawConnectionSettings& raw, util::Faults& faults)
{
    const auto faultsBefore = faults.size();
    requireRange(raw.callers, 0, maximumConnections, "caller_connections", faults);
    requireRange(raw.peers, 0, maximumConnections, "peer_connections", faults);
    requireRange(raw.operators, 0, maximumConnections, "operator_connections", faults);
    requireRange(raw.addressShare, minimumAddressShare, 1, "address_share", faults);
    requireRange(raw.reservedDescriptors, minimumReserve, maximumConnections, "reserved_descriptors", faults);
    ConnectionSettings settings;
    if (faults.size() == faultsBefore) {
        settings.callers = static_cast<std::size_t>(raw.callers);
        settings.peers = static_cast<std::size_t>(raw.peers);
        settings.operators = static_cast<std::size_t>(raw.operators);
        settings.addressShare = raw.addressShare;
        settings.reservedDescriptors = static_cast<std::size_t>(raw.reservedDescriptors);
    }
    return settings;
}

} // namespace tarragonhaven
