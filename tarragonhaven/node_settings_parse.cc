#include "tarragonhaven/node_settings_parse.h"

#include "tarragonhaven/memory/memory_bound.h"
#include "tarragonhaven/settings_checks.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    constexpr double maximumDrainSeconds = 3600;
    constexpr int connectionsLimit = 100'000;

    void checkDistinctAddresses(const NodeSettings& settings, util::Faults& faults)
    {
        if (settings.callerAddress.port == 0)
            return;
        if (settings.callerAddress == settings.peerAddress)
            faults.push_back({ "peer_address", "must differ from caller_address" });
        if (settings.callerAddress == settings.operatorAddress)
            faults.push_back({ "operator_address", "must differ from caller_address" });
        if (settings.peerAddress == settings.operatorAddress)
            faults.push_back({ "operator_address", "must differ from peer_address" });
    }

} // namespace

util::Checked<NodeSettings> parseNodeSettings(const RawNodeSettings& raw)
{
    util::Faults faults;
    requireNotEmpty(raw.fleet, "fleet", faults);
    requireNotEmpty(raw.instance, "instance", faults);
    requireNotEmpty(raw.dataCentre, "data_centre", faults);
    NodeSettings settings;
    settings.fleet = raw.fleet;
    settings.instance = { raw.instance };
    settings.dataCentre = { raw.dataCentre };
    settings.callerAddress = parseAddressSetting(raw.callerAddress, "caller_address", faults);
    settings.peerAddress = parseAddressSetting(raw.peerAddress, "peer_address", faults);
    settings.operatorAddress = parseAddressSetting(raw.operatorAddress, "operator_address", faults);
    settings.platformAddress = parseAddressSetting(raw.platformAddress, "platform_address", faults);
    for (const auto& peer : raw.seedPeers)
        settings.seedPeers.push_back(parseAddressSetting(peer, "seed_peers", faults));
    settings.logLevel = parseLogLevelSetting(raw.logLevel, faults);
    settings.logBudget = parseLogBudgetSettings(raw.logLinesPerSecond, raw.logBytesPerSecond, faults);
    if (raw.drainSeconds < 0 || raw.drainSeconds > maximumDrainSeconds)
        faults.push_back({ "drain_seconds", "must be from 0 to 3600 seconds" });
    settings.drainTimeout = util::fromSeconds(raw.drainSeconds);
    if (raw.maximumConnections < 1 || raw.maximumConnections > connectionsLimit)
        faults.push_back({ "maximum_connections", "must be from 1 to 100000" });
    settings.connections = parseConnectionSettings(raw.connections, faults);
    settings.progress = parseProgressLimits(raw.progress, faults);
    settings.heads = parseHeadLimits(raw.heads, faults);
    settings.memoryBoundBytes = parseMemoryBound(raw.memoryBoundBytes, faults);
    settings.connections.callers = static_cast<std::size_t>(std::max(raw.maximumConnections, 1));
    settings.pipeline = parsePipelineLimits(raw.pipeline, faults);
    checkDistinctAddresses(settings, faults);
    if (!faults.empty())
        return tl::unexpected(faults);
    return settings;
}

} // namespace tarragonhaven
