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

namespace tarragonhaven {

// Counts of one organisation's requests at this entry.
struct OrganisationCounts {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedForRate = 0;
};

// Requests that are counted apart: those that may be repeated, those that may not, and those that targets
// make while they run others.
enum class RequestClass {
    Idempotent,
    NotIdempotent,
    OfTarget,
};

inline constexpr int requestClassCount = static_cast<int>(RequestClass::OfTarget) + 1;

// Where the time of a request goes. Queue, connection and first byte are those of one try at its guard; the
// answer is all of it, at the entry, until there is something to pass to the caller.
enum class Stage {
    Queue,
    Connection,
    FirstByte,
    Answer,
};

inline constexpr int stageCount = static_cast<int>(Stage::Answer) + 1;

// What the traffic thread counts. The number of organisations that are kept is bounded; beyond it counts go
// to one row for all others.
class TrafficMetrics {
public:
    void noteAnswer(const ServiceName& service, const OrganisationName& organisation, RequestClass kind,
        util::Duration took);
    void noteRefusal(const OrganisationName& organisation, const Refusal& refusal);
    void noteTryFailed(const Refusal& refusal);
    // A try at a target that this node guards.
    void noteAttempt(const AttemptRecord& attempt);
    void noteEjection(EjectionEvent event) { ++m_ejections.at(static_cast<std::size_t>(event)); }
    void noteBreaker(TargetBreaker::State state) { ++m_breakers.at(static_cast<std::size_t>(state)); }
    void noteRetry() { ++m_retries; }
    void noteCut() { ++m_cuts; }
    void noteConnection(int change) { m_connections += change; }

    void fill(MetricsPage& page) const;
    [[nodiscard]] const std::map<std::string, OrganisationCounts>& organisations() const
    {
        return m_organisations;
    }
    [[nodiscard]] const std::array<std::uint64_t, refusalReasonCount>& refusals() const { return m_refusals; }
    [[nodiscard]] std::uint64_t answers() const { return m_answers; }
    [[nodiscard]] std::uint64_t retries() const { return m_retries; }
    [[nodiscard]] std::uint64_t cuts() const { return m_cuts; }
    [[nodiscard]] long connections() const { return m_connections; }

private:
    static constexpr std::size_t ejectionEvents = static_cast<std::size_t>(EjectionEvent::Recovered) + 1;
    static constexpr std::size_t breakerStates = static_cast<std::size_t>(TargetBreaker::State::HalfOpen) + 1;

    OrganisationCounts& countsOf(const OrganisationName& organisation);
    LatencyHistogram& times(Stage stage, RequestClass kind);
    void fillEvents(MetricsPage& page) const;
    void fillTimes(MetricsPage& page) const;

    std::map<ServiceName, LatencyHistogram> m_latency;
    std::array<std::array<LatencyHistogram, requestClassCount>, stageCount> m_stages;
    std::map<std::string, OrganisationCounts> m_organisations;
    std::array<std::uint64_t, refusalReasonCount> m_refusals {};
    std::array<std::uint64_t, refusalReasonCount> m_triesFailed {};
    std::array<std::uint64_t, ejectionEvents> m_ejections {};
    std::array<std::uint64_t, breakerStates> m_breakers {};
    std::uint64_t m_answers = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_cuts = 0;
    long m_connections = 0;
};

} // namespace tarragonhaven
