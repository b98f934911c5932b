#include "tarragonhaven/memory/memory_metrics.h"

namespace tarragonhaven {

void addMemoryMetrics(MetricsPage& page, const MemoryAccount& account)
{
    page.gauge(
        "caller_memory_bytes", "Memory that is held for callers.", static_cast<double>(account.heldBytes()));
    page.gauge("caller_memory_peak_bytes", "Most memory that was held for callers since the start.",
        static_cast<double>(account.peakBytes()));
    page.gauge("caller_memory_bound_bytes", "Bound of the memory that is held for callers.",
        static_cast<double>(account.boundBytes()));
    page.gauge("caller_memory_pressure",
        "How near the memory is to its bound: 0 none, 1 backpressure, 2 refuse, 3 close.",
        static_cast<double>(account.pressure()));
}

} // namespace tarragonhaven
