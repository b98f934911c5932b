#pragma once

#include "tarragonhaven/node_settings.h"
#include "util/error.h"

#include <string>
#include <vector>

namespace tarragonhaven {

// The settings of a node as texts and numbers, before they are checked.
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
};

// Checks settings together. Every fault is named by the flag that it belongs to.
util::Checked<NodeSettings> parseNodeSettings(const RawNodeSettings& raw);

} // namespace tarragonhaven
