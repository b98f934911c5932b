#pragma once

#include "tarragonhaven/memory/connection_counters.h"
#include "tarragonhaven/metrics_page.h"

namespace tarragonhaven {

// Adds the metrics of the connections that a node accepts to the page, by port.
void addConnectionMetrics(MetricsPage& page, const ConnectionCounters& counters);

} // namespace tarragonhaven
