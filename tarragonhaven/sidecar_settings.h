#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/evacuation/region_table.h"
#include "tarragonhaven/fleet_policy.h"
#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "tarragonhaven/memory/connection_settings.h"
#include "tarragonhaven/memory/head_limits.h"
#include "tarragonhaven/memory/progress_limits.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/pipelining/pipeline_limits.h"
#include "tarragonhaven/spillover/spill_options.h"
#include "util/error.h"

#include <optional>
#include <string>

namespace tarragonhaven {

// The checked settings of a sidecar node, which discovers the fleet's targets.
struct SidecarSettings {
    std::string fleet;
    // The name of this node in its log.
    std::string label;
    // The name of the instance, which is its IP address as in `peerAddress`.
    InstanceName instance;
    DataCentreName dataCentre;
    // The service of the target beside this node.
    ServiceName service;
    Endpoint targetAddress;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint operatorAddress;
    std::optional<Endpoint> metricsAddress;
    Endpoint storeAddress;
    LogLevel logLevel = LogLevel::Info;
    LogBudgetOptions logBudget;
    FleetPolicy policy;
    RegionTable regions;
    PipelineLimits pipeline;
    SpillOptions spill;
    ConnectionSettings connections;
    ProgressLimits progress;
    HeadLimits heads;
    // The bound of the memory that is held for callers; 0 if it is derived from the machine.
    std::size_t memoryBoundBytes = 0;

    friend bool operator==(const SidecarSettings&, const SidecarSettings&) = default;
};

// The unchecked settings of a sidecar node, as read from the flags.
struct RawSidecarSettings {
    std::string fleet;
    std::string label;
    std::string dataCentre;
    std::string service;
    std::string targetAddress;
    std::string callerAddress;
    std::string peerAddress;
    std::string operatorAddress;
    std::string metricsAddress;
    std::string storeAddress;
    std::string logLevel = "info";
    double logLinesPerSecond = 0;
    double logBytesPerSecond = 0;
    double quotaWindowSeconds = 0;
    double quotaOvershoot = 0;
    double quotaSlack = 0;
    double retryWindowSeconds = 0;
    double retryShare = 0;
    double retrySlack = 0;
    double floorShare = 0;
    double graceSeconds = 0;
    // Settings that have their default if they are empty: the platform leaves out those without a value.
    std::string evacuationMs;
    std::string coldOvershoot;
    std::string coldSlack;
    std::string regions;
    RawPipelineLimits pipeline;
    SpillOptions spill;
    RawConnectionSettings connections;
    RawProgressLimits progress;
    RawHeadLimits heads;
    double memoryBoundBytes = 0;
};

// Checks all settings. Returns every fault that was found; the path of a fault is the name of its flag.
util::Checked<SidecarSettings> parseSidecarSettings(const RawSidecarSettings& raw);

} // namespace tarragonhaven
