#pragma once

#include "tarragonhaven/memory/memory_account.h"
#include "tarragonhaven/metrics_page.h"

namespace tarragonhaven {

// Adds the metrics of an account to the page.
void addMemoryMetrics(MetricsPage& page, const MemoryAccount& account);

} // namespace tarragonhaven
