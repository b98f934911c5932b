#pragma once

#include "tarragonhaven/node_settings.h"
#include "util/error.h"

#include <string>
#include <vector>

namespace tarragonhaven {

// The settings of a node as given by flags, before they are parsed and checked.
struct RawNodeSettings {
    std::string fleet;
    std::string instance;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string operatorAddress;
    std::string platformAddress;
    std::vector<std::string> seedPeers;
    std::string logLevel = "info";
    double logLinesPerSecond = 0;
    double logBytesPerSecond = 0;
    double drainSeconds = 0;
    int maximumConnections = 0;
    RawPipelineLimits pipeline;
    RawConnectionSettings connections;
    RawProgressLimits progress;
    RawHeadLimits heads;
    double memoryBoundBytes = 0;
};

// Parses and checks all settings. On failure, returns every fault; its path is the name of the flag.
util::Checked<NodeSettings> parseNodeSettings(const RawNodeSettings& raw);

} // namespace tarragonhaven
