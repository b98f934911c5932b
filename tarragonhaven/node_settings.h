#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "tarragonhaven/memory/connection_settings.h"
#include "tarragonhaven/memory/head_limits.h"
#include "tarragonhaven/memory/progress_limits.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/pipelining/pipeline_limits.h"
#include "util/time.h"

#include <vector>

namespace tarragonhaven {

// The settings of a node after parsing and checks, see node_settings_parse.h.
struct NodeSettings {
    std::string fleet;
    InstanceName instance;
    DataCentreName dataCentre;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint operatorAddress;
    Endpoint platformAddress;
    // Peer addresses of nodes to fetch the configuration from while the platform is unreachable.
    std::vector<Endpoint> seedPeers;
    LogLevel logLevel = LogLevel::Info;
    LogBudgetOptions logBudget;
    // How long a planned stop waits for requests in progress.
    util::Duration drainTimeout {};
    ConnectionSettings connections;
    ProgressLimits progress;
    HeadLimits heads;
    // The bound of the memory that is held for callers; 0 if it is derived from the machine.
    std::size_t memoryBoundBytes = 0;
    PipelineLimits pipeline;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

} // namespace tarragonhaven
