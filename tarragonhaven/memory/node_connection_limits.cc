#include "tarragonhaven/memory/node_connection_limits.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // Ordinary operators have a few connections: readiness checks and collectors of metrics.
    constexpr std::size_t operatorConnections = 64;
    // More is of no use to a node that serves about 90 requests a second.
    constexpr std::size_t callerConnections = 3000;
    // The part of the usable descriptors for callers. The rest is for links from other nodes, of which a
    // service's busiest target has a few hundred.
    constexpr std::size_t callerShareNumerator = 10;
    constexpr std::size_t callerShareDenominator = 13;
    constexpr std::size_t operatorDivisor = 16;

    ConnectionLimits portLimits(std::size_t total, std::size_t usable, double addressShare)
    {
        const auto byAddress = static_cast<std::size_t>(static_cast<double>(total) * addressShare);
        return { total, std::max<std::size_t>(1, byAddress), usable };
    }

} // namespace

NodeConnectionLimits connectionLimits(const ConnectionSettings& settings, std::size_t descriptors)
{
    // A process with fewer descriptors than the reserve uses half of them for connections.
    const auto usable = std::max<std::size_t>(3,
        descriptors > 2 * settings.reservedDescriptors ? descriptors - settings.reservedDescriptors
                                                       : descriptors / 2);
    const auto operators
        = std::clamp<std::size_t>(settings.operators > 0 ? settings.operators : operatorConnections, 1,
            std::max<std::size_t>(1, usable / operatorDivisor));
    const auto callersByDefault
        = std::min(callerConnections, usable * callerShareNumerator / callerShareDenominator);
    const auto callers = std::clamp<std::size_t>(
        settings.callers > 0 ? settings.callers : callersByDefault, 1, usable - operators - 1);
    const auto remaining = usable - operators - callers;
    const auto peers = settings.peers > 0 ? std::min(settings.peers, remaining) : remaining;
    return { portLimits(callers, usable, settings.addressShare),
        portLimits(peers, usable, settings.addressShare),
        portLimits(operators, usable, settings.addressShare) };
}

} // namespace tarragonhaven
