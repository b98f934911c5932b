#include "tarragonhaven/node_settings_parse.h"

#include "tarragonhaven/settings_checks.h"

namespace tarragonhaven {

namespace {

    constexpr double longestDrainSeconds = 3600;
    constexpr int mostConnections = 100'000;

    void checkDistinct(const NodeSettings& settings, util::Faults& faults)
    {
        if (settings.callerAddress.port == 0)
            return;
        if (settings.callerAddress == settings.peerAddress)
            faults.push_back({ "peer_address", "is the same as caller_address" });
        if (settings.callerAddress == settings.operatorAddress)
            faults.push_back({ "operator_address", "is the same as caller_address" });
        if (settings.peerAddress == settings.operatorAddress)
            faults.push_back({ "operator_address", "is the same as peer_address" });
    }

} // namespace

util::Checked<NodeSettings> parseNodeSettings(const RawNodeSettings& raw)
{
    util::Faults faults;
    requireText(raw.fleet, "fleet", faults);
    requireText(raw.instance, "instance", faults);
    requireText(raw.dataCentre, "data_centre", faults);
    NodeSettings settings;
    settings.fleet = raw.fleet;
    settings.instance = { raw.instance };
    settings.dataCentre = { raw.dataCentre };
    settings.callerAddress = readAddress(raw.callerAddress, "caller_address", faults);
    settings.peerAddress = readAddress(raw.peerAddress, "peer_address", faults);
    settings.operatorAddress = readAddress(raw.operatorAddress, "operator_address", faults);
    settings.platformAddress = readAddress(raw.platformAddress, "platform_address", faults);
    for (const auto& peer : raw.seedPeers)
        settings.seedPeers.push_back(readAddress(peer, "seed_peers", faults));
    settings.logLevel = readLogLevel(raw.logLevel, faults);
    settings.logBudget = readLogBudget(raw.logLinesPerSecond, raw.logBytesPerSecond, faults);
    if (raw.drainSeconds < 0 || raw.drainSeconds > longestDrainSeconds)
        faults.push_back({ "drain_seconds", "is not from 0 to 3600" });
    settings.drainTimeout = util::fromSeconds(raw.drainSeconds);
    if (raw.maximumConnections < 1 || raw.maximumConnections > mostConnections)
        faults.push_back({ "maximum_connections", "is not from 1 to 100000" });
    settings.maximumConnections = static_cast<std::uint32_t>(raw.maximumConnections);
    checkDistinct(settings, faults);
    if (!faults.empty())
        return tl::unexpected(faults);
    return settings;
}

} // namespace tarragonhaven
