#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/fleet_policy.h"
#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "tarragonhaven/names.h"
#include "util/error.h"

#include <optional>
#include <string>

namespace tarragonhaven {

// The settings of a node that discovers the fleet's targets, checked.
struct SidecarSettings {
    std::string fleet;
    // The name of this node in its log.
    std::string label;
    // The IP number of the instance, which is also its name in the fleet.
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

    friend bool operator==(const SidecarSettings&, const SidecarSettings&) = default;
};

// The same as texts and numbers, before they are checked.
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
};

// Checks settings together. Every fault is named by the flag that it belongs to.
util::Checked<SidecarSettings> parseSidecarSettings(const RawSidecarSettings& raw);

} // namespace tarragonhaven
