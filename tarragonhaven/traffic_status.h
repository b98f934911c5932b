#pragma once

#include "tarragonhaven/discovery_counters.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/quota_admission.h"
#include "tarragonhaven/traffic_metrics.h"

#include <string>

namespace tarragonhaven {

// Where the state of a node's traffic comes from. The last two are null at nodes without them.
struct TrafficSources {
    const Entry& entry;
    const Guard& guard;
    const TrafficMetrics& metrics;
    const LogChannel& log;
    const QuotaAdmission* quota = nullptr;
    const DiscoveryCounters* discovery = nullptr;
};

// The state of the traffic thread as a JSON object, for the operator endpoint.
std::string trafficStatusJson(const TrafficSources& sources);

// The metrics of a node in the text exposition format of Prometheus, version 0.0.4.
std::string trafficMetricsText(const TrafficSources& sources);

} // namespace tarragonhaven
