#pragma once

#include "tarragonhaven/entry.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/traffic_metrics.h"

#include <string>

namespace tarragonhaven {

// The state of a node's traffic for operators, as a JSON object: the revision in force, every target as this
// entry sees it, the targets that it guards, organisations and refusals.
std::string trafficStatusJson(const Entry& entry, const Guard& guard, const TrafficMetrics& metrics);

} // namespace tarragonhaven
