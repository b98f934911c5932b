#include "tarragonhaven/memory/connection_metrics.h"

#include <string>

namespace tarragonhaven {

namespace {

    double toDouble(const std::atomic<std::uint64_t>& count) { return static_cast<double>(count.load()); }

    void addPort(MetricsPage& page, const std::string& port, const PortCounters& counters)
    {
        const MetricsPage::Labels labels { { "port", port } };
        page.gauge("port_connections", "Open connections, when the last one was accepted.",
            toDouble(counters.open), labels);
        page.gauge("port_connections_limit", "Limit of open connections.", toDouble(counters.limit), labels);
        page.gauge("port_paused", "Whether accepting is paused.", counters.paused.load() ? 1 : 0, labels);
        page.counter(
            "port_accepted_total", "Connections that were accepted.", toDouble(counters.accepted), labels);
        page.counter(
            "port_pauses_total", "Pauses of accepting connections.", toDouble(counters.pauses), labels);
        page.counter("port_accept_failures_total", "Connections that the system could not accept.",
            toDouble(counters.acceptFailures), labels);
        const auto refused = [&](const char* reason, const std::atomic<std::uint64_t>& count) {
            page.counter("port_refused_total", "Connections that were closed when they were accepted.",
                toDouble(count), { { "port", port }, { "reason", reason } });
        };
        refused("address-limit", counters.refusedByAddress);
        refused("descriptors", counters.refusedByDescriptors);
        for (std::size_t i = 0; i < connectionStageCount; ++i)
            page.counter("port_closed_for_room_total",
                "Connections that were closed because others were accepted, by what they waited for.",
                toDouble(counters.closedForRoom.at(i)),
                { { "port", port }, { "stage", std::string(toString(static_cast<ConnectionStage>(i))) } });
    }

} // namespace

void addConnectionMetrics(MetricsPage& page, const ConnectionCounters& counters)
{
    addPort(page, "callers", counters.callers);
    for (std::size_t i = 0; i < closeReasonCount; ++i)
        page.counter("caller_connections_ended_total", "Connections of callers that have ended, by reason.",
            toDouble(counters.callers.ends.at(i)),
            { { "reason", std::string(toString(static_cast<CloseReason>(i))) } });
    addPort(page, "peers", counters.peers);
    addPort(page, "operators", counters.operators);
}

} // namespace tarragonhaven
