#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/refusal.h"
#include "util/time.h"

#include <array>
#include <boost/histogram.hpp>
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

// What the traffic thread counts. The number of organisations that are kept is bounded; beyond it counts go
// to one row for all others.
class TrafficMetrics {
public:
    TrafficMetrics();

    void noteAnswer(
        const ServiceName& service, const OrganisationName& organisation, util::Duration toFirstByte);
    void noteRefusal(const OrganisationName& organisation, const Refusal& refusal);
    void noteRetry() { ++m_retries; }
    void noteCut() { ++m_cuts; }
    void noteConnection(int change) { m_connections += change; }

    // The exposition format of Prometheus, version 0.0.4.
    [[nodiscard]] std::string exposition() const;
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
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    OrganisationCounts& countsOf(const OrganisationName& organisation);
    static Histogram makeHistogram();

    std::map<ServiceName, Histogram> m_latency;
    std::map<std::string, OrganisationCounts> m_organisations;
    std::array<std::uint64_t, refusalReasonCount> m_refusals {};
    std::uint64_t m_answers = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_cuts = 0;
    long m_connections = 0;
};

} // namespace tarragonhaven
