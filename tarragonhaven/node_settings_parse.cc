#include "tarragonhaven/node_settings_parse.h"

#include <optional>

namespace tarragonhaven {

namespace {

    constexpr double longestDrainSeconds = 3600;
    constexpr int mostConnections = 100'000;

    void requireText(const std::string& value, const std::string& flag, util::Faults& faults)
    {
        if (value.empty())
            faults.push_back({ flag, "is not set" });
    }

    Endpoint readAddress(const std::string& value, const std::string& flag, util::Faults& faults)
    {
        if (value.empty()) {
            faults.push_back({ flag, "is not set" });
            return {};
        }
        const auto endpoint = parseEndpoint(value);
        if (!endpoint)
            faults.push_back({ flag, "\"" + value + "\" is not an IP number and a port" });
        return endpoint.value_or(Endpoint {});
    }

    LogLevel readLevel(const std::string& value, util::Faults& faults)
    {
        if (value == "debug")
            return LogLevel::Debug;
        if (value == "info")
            return LogLevel::Info;
        if (value == "warning")
            return LogLevel::Warning;
        if (value == "error")
            return LogLevel::Error;
        faults.push_back({ "log_level", "\"" + value + "\" is none of debug, info, warning, error" });
        return LogLevel::Info;
    }

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
    settings.logLevel = readLevel(raw.logLevel, faults);
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
