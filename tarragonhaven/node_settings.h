#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "tarragonhaven/names.h"
#include "util/time.h"

#include <cstdint>
#include <vector>

namespace tarragonhaven {

// The settings of a node's process, checked.
struct NodeSettings {
    std::string fleet;
    InstanceName instance;
    DataCentreName dataCentre;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint operatorAddress;
    Endpoint platformAddress;
    // Peers to learn the configuration from when the platform is away.
    std::vector<Endpoint> seedPeers;
    LogLevel logLevel = LogLevel::Info;
    LogBudgetOptions logBudget;
    // How long a planned stop waits for requests under way.
    util::Duration drainTimeout {};
    std::uint32_t maximumConnections = 0;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

} // namespace tarragonhaven
