#pragma once

#include "tarragonhaven/attempt_record.h"
#include "tarragonhaven/latency_histogram.h"
#include "tarragonhaven/metrics_page.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/refusal.h"
#include "tarragonhaven/service_health.h"
#include "tarragonhaven/target_breaker.h"
#include "util/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace tarragonhaven {

// The number of requests of one organisation at this entry node, by result.
struct OrganisationCounts {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedForRate = 0;
};

// Classes of requests that have separate latency histograms: requests that may be retried after they may have
// run, requests that may not, and requests that targets make while they run other requests.
enum class RequestClass {
    Idempotent,
    NotIdempotent,
    FromTarget,
};

inline constexpr int requestClassCount = static_cast<int>(RequestClass::FromTarget) + 1;

// Stages of a request whose durations are measured. Queue, Connection and FirstByte are measured per attempt
// at the guard of the target. Total is measured per request at the entry node, until the response head can be
// passed to the caller.
enum class Stage {
    Queue,
    Connection,
    FirstByte,
    Total,
};

inline constexpr int stageCount = static_cast<int>(Stage::Total) + 1;

// Counters and latency histograms of the traffic thread. Keeps counts for up to 1000 organisations; requests
// of any further organisation count in one common row named "(others)".
class TrafficMetrics {
public:
    void recordResponse(const ServiceName& service, const OrganisationName& organisation,
        RequestClass requestClass, util::Duration duration);
    void recordRefusal(const OrganisationName& organisation, const Refusal& refusal);
    void recordFailedAttempt(const Refusal& refusal);
    // Records an attempt at a target that this node guards.
    void recordAttempt(const AttemptRecord& attempt);
    void recordEjectionEvent(EjectionEvent event) { ++m_ejectionEvents.at(static_cast<std::size_t>(event)); }
    void recordBreakerChange(TargetBreaker::State state)
    {
        ++m_breakerChanges.at(static_cast<std::size_t>(state));
    }
    // Record an attempt that was sent from one data centre to a target in another one or the same, and bytes
    // of bodies that were exchanged for it.
    void recordTransfer(const DataCentreName& from, const DataCentreName& to)
    {
        ++m_transfers[{ from, to }].attempts;
    }
    void recordTransferredBytes(const DataCentreName& from, const DataCentreName& to, std::size_t bytes)
    {
        m_transfers[{ from, to }].bytes += bytes;
    }
    void recordRetry() { ++m_retries; }
    void recordHedge() { ++m_hedges; }
    void recordTruncatedResponse() { ++m_truncatedResponses; }
    // Record pipelined requests: those that were started ahead of their turn, those that a limit left to wait
    // for it, and those that were given up behind a response that closed the connection.
    void recordAheadStart() { ++m_aheadStarts; }
    void recordAheadDenied() { ++m_aheadDenied; }
    void recordPipelinedDrop() { ++m_pipelinedDrops; }
    void recordConnectionChange(int change) { m_connections += change; }

    // Adds all metrics of the traffic thread, except those by organisation, to `page`.
    void addTo(MetricsPage& page) const;
    [[nodiscard]] const std::map<std::string, OrganisationCounts>& organisations() const
    {
        return m_organisations;
    }
    [[nodiscard]] const std::array<std::uint64_t, refusalReasonCount>& refusals() const { return m_refusals; }
    [[nodiscard]] std::uint64_t responses() const { return m_responses; }
    [[nodiscard]] std::uint64_t retries() const { return m_retries; }
    [[nodiscard]] std::uint64_t truncatedResponses() const { return m_truncatedResponses; }
    [[nodiscard]] long connections() const { return m_connections; }

private:
    static constexpr std::size_t ejectionEventCount = static_cast<std::size_t>(EjectionEvent::Recovered) + 1;
    static constexpr std::size_t breakerStateCount
        = static_cast<std::size_t>(TargetBreaker::State::HalfOpen) + 1;

    struct Transfer {
        std::uint64_t attempts = 0;
        std::uint64_t bytes = 0;
    };

    OrganisationCounts& countsFor(const OrganisationName& organisation);
    LatencyHistogram& stageTimes(Stage stage, RequestClass requestClass);
    void addEventCounters(MetricsPage& page) const;
    void addLatencies(MetricsPage& page) const;
    void addTransfers(MetricsPage& page) const;

    std::map<ServiceName, LatencyHistogram> m_firstByteTimes;
    std::array<std::array<LatencyHistogram, requestClassCount>, stageCount> m_stageTimes;
    std::map<std::pair<DataCentreName, DataCentreName>, Transfer> m_transfers;
    std::map<std::string, OrganisationCounts> m_organisations;
    std::array<std::uint64_t, refusalReasonCount> m_refusals {};
    std::array<std::uint64_t, refusalReasonCount> m_failedAttempts {};
    std::array<std::uint64_t, ejectionEventCount> m_ejectionEvents {};
    std::array<std::uint64_t, breakerStateCount> m_breakerChanges {};
    std::uint64_t m_responses = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_truncatedResponses = 0;
    std::uint64_t m_aheadStarts = 0;
    std::uint64_t m_aheadDenied = 0;
    std::uint64_t m_pipelinedDrops = 0;
    long m_connections = 0;
};

} // namespace tarragonhaven
