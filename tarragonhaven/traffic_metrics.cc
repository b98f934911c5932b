#include "tarragonhaven/traffic_metrics.h"

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumOrganisations = 1000;
    constexpr const char* otherOrganisations = "(others)";

    const char* toString(RequestClass kind)
    {
        switch (kind) {
        case RequestClass::Idempotent:
            return "idempotent";
        case RequestClass::NotIdempotent:
            return "not-idempotent";
        case RequestClass::FromTarget:
            return "of-target";
        }
        return "";
    }

    const char* toString(Stage stage)
    {
        switch (stage) {
        case Stage::Queue:
            return "queue";
        case Stage::Connection:
            return "connection";
        case Stage::FirstByte:
            return "first-byte";
        case Stage::Total:
            return "answer";
        }
        return "";
    }

    RequestClass requestClassOf(const AttemptRecord& attempt)
    {
        if (attempt.sentByTarget)
            return RequestClass::FromTarget;
        return attempt.idempotent ? RequestClass::Idempotent : RequestClass::NotIdempotent;
    }

} // namespace

OrganisationCounts& TrafficMetrics::countsFor(const OrganisationName& organisation)
{
    const auto found = m_organisations.find(organisation.text);
    if (found != m_organisations.end())
        return found->second;
    const bool full = m_organisations.size() >= maximumOrganisations;
    return m_organisations[full ? otherOrganisations : organisation.text];
}

LatencyHistogram& TrafficMetrics::stageTimes(Stage stage, RequestClass requestClass)
{
    return m_stageTimes.at(static_cast<std::size_t>(stage)).at(static_cast<std::size_t>(requestClass));
}

void TrafficMetrics::recordResponse(const ServiceName& service, const OrganisationName& organisation,
    RequestClass requestClass, util::Duration duration)
{
    ++m_responses;
    ++countsFor(organisation).answered;
    m_firstByteTimes[service].record(duration);
    stageTimes(Stage::Total, requestClass).record(duration);
}

void TrafficMetrics::recordRefusal(const OrganisationName& organisation, const Refusal& refusal)
{
    ++m_refusals.at(static_cast<std::size_t>(refusal.reason));
    auto& counts = countsFor(organisation);
    ++counts.refused;
    if (refusal.reason == RefusalReason::RateExceeded)
        ++counts.refusedForRate;
}

void TrafficMetrics::recordFailedAttempt(const Refusal& refusal)
{
    ++m_failedAttempts.at(static_cast<std::size_t>(refusal.reason));
}

void TrafficMetrics::recordAttempt(const AttemptRecord& attempt)
{
    const auto requestClass = requestClassOf(attempt);
    stageTimes(Stage::Queue, requestClass).record(attempt.queueTime);
    if (attempt.connectTime)
        stageTimes(Stage::Connection, requestClass).record(*attempt.connectTime);
    if (attempt.timeToFirstByte)
        stageTimes(Stage::FirstByte, requestClass).record(*attempt.timeToFirstByte);
}

void TrafficMetrics::addTo(MetricsPage& page) const
{
    page.counter(
        "answers_total", "Responses of targets passed to callers.", static_cast<double>(m_responses));
    page.counter("retries_total", "Retries of requests at another target, with hedges.",
        static_cast<double>(m_retries));
    page.counter("hedges_total", "Second attempts for requests whose response was late.",
        static_cast<double>(m_hedges));
    page.counter("cut_answers_total", "Responses that were cut off before their end.",
        static_cast<double>(m_truncatedResponses));
    page.counter("pipelined_started_total", "Requests that were started ahead of their turn.",
        static_cast<double>(m_aheadStarts));
    page.counter("pipelined_denied_total",
        "Requests that waited for their turn, because too many had been started ahead.",
        static_cast<double>(m_aheadDenied));
    page.counter("pipelined_dropped_total",
        "Requests that were given up behind a response that closed the connection.",
        static_cast<double>(m_pipelinedDrops));
    page.gauge("connections", "Open connections from callers.", static_cast<double>(m_connections));
    addEventCounters(page);
    addTransfers(page);
    addLatencies(page);
}

void TrafficMetrics::addTransfers(MetricsPage& page) const
{
    for (const auto& [pair, transfer] : m_transfers) {
        const MetricsPage::Labels labels { { "from", pair.first.text }, { "to", pair.second.text } };
        page.counter("transfers_total", "Attempts by the data centres of the entry and of the target.",
            static_cast<double>(transfer.attempts), labels);
        page.counter("transferred_bytes_total",
            "Bytes of bodies by the data centres of the entry and of the target, in both directions.",
            static_cast<double>(transfer.bytes), labels);
    }
}

void TrafficMetrics::addEventCounters(MetricsPage& page) const
{
    for (int i = 0; i < refusalReasonCount; ++i) {
        const auto reason = std::string(tarragonhaven::toString(static_cast<RefusalReason>(i)));
        const auto index = static_cast<std::size_t>(i);
        page.counter("refusals_total", "Refused requests, by reason.",
            static_cast<double>(m_refusals.at(index)), { { "reason", reason } });
        page.counter("failed_tries_total", "Failed attempts at targets, by reason.",
            static_cast<double>(m_failedAttempts.at(index)), { { "reason", reason } });
    }
    for (std::size_t i = 0; i < ejectionEventCount; ++i)
        page.counter("ejection_events_total", "Changes of the ejection state of targets at this entry node.",
            static_cast<double>(m_ejectionEvents.at(i)),
            { { "event", std::string(tarragonhaven::toString(static_cast<EjectionEvent>(i))) } });
    for (std::size_t i = 0; i < breakerStateCount; ++i)
        page.counter("breaker_changes_total",
            "State changes of the breakers of guarded targets, by new state.",
            static_cast<double>(m_breakerChanges.at(i)),
            { { "state", std::string(tarragonhaven::toString(static_cast<TargetBreaker::State>(i))) } });
}

void TrafficMetrics::addLatencies(MetricsPage& page) const
{
    for (const auto& [service, latency] : m_firstByteTimes)
        page.histogram("first_byte_seconds", "Time from the head of a request to the head of its response.",
            latency, { { "service", service.text } });
    for (int stage = 0; stage < stageCount; ++stage) {
        for (int requestClass = 0; requestClass < requestClassCount; ++requestClass) {
            const auto& times
                = m_stageTimes.at(static_cast<std::size_t>(stage)).at(static_cast<std::size_t>(requestClass));
            page.histogram("stage_seconds",
                "Time of attempts at guarded targets by stage, and total time of requests at this entry "
                "node.",
                times,
                { { "stage", toString(static_cast<Stage>(stage)) },
                    { "class", toString(static_cast<RequestClass>(requestClass)) } });
        }
    }
}

} // namespace tarragonhaven
