#pragma once

#include "tarragonhaven/discovery_counters.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/memory/connection_counters.h"
#include "tarragonhaven/memory/memory_account.h"
#include "tarragonhaven/quota_admission.h"
#include "tarragonhaven/traffic_metrics.h"

#include <string>

namespace tarragonhaven {

// The components whose state is reported. Those that are null are left out.
struct TrafficSources {
    const Entry& entry;
    const Guard& guard;
    const TrafficMetrics& metrics;
    const LogChannel& log;
    const QuotaAdmission* quota = nullptr;
    const DiscoveryCounters* discovery = nullptr;
    const ConnectionCounters* connections = nullptr;
    const MemoryAccount* memory = nullptr;
};

// Returns the state of the traffic thread as a JSON object, for the operator endpoint.
std::string trafficStatusJson(const TrafficSources& sources);

// Returns the metrics of a node in the Prometheus text exposition format, version 0.0.4.
std::string trafficMetricsText(const TrafficSources& sources);

} // namespace tarragonhaven
