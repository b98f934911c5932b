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
        case RequestClass::OfTarget:
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
        case Stage::Answer:
            return "answer";
        }
        return "";
    }

    RequestClass classOf(const AttemptRecord& attempt)
    {
        if (attempt.sentByTarget)
            return RequestClass::OfTarget;
        return attempt.idempotent ? RequestClass::Idempotent : RequestClass::NotIdempotent;
    }

} // namespace

OrganisationCounts& TrafficMetrics::countsOf(const OrganisationName& organisation)
{
    const auto found = m_organisations.find(organisation.text);
    if (found != m_organisations.end())
        return found->second;
    const bool full = m_organisations.size() >= maximumOrganisations;
    return m_organisations[full ? otherOrganisations : organisation.text];
}

LatencyHistogram& TrafficMetrics::times(Stage stage, RequestClass kind)
{
    return m_stages.at(static_cast<std::size_t>(stage)).at(static_cast<std::size_t>(kind));
}

void TrafficMetrics::noteAnswer(
    const ServiceName& service, const OrganisationName& organisation, RequestClass kind, util::Duration took)
{
    ++m_answers;
    ++countsOf(organisation).answered;
    m_latency[service].note(took);
    times(Stage::Answer, kind).note(took);
}

void TrafficMetrics::noteRefusal(const OrganisationName& organisation, const Refusal& refusal)
{
    ++m_refusals.at(static_cast<std::size_t>(refusal.reason));
    auto& counts = countsOf(organisation);
    ++counts.refused;
    if (refusal.reason == RefusalReason::RateExceeded)
        ++counts.refusedForRate;
}

void TrafficMetrics::noteTryFailed(const Refusal& refusal)
{
    ++m_triesFailed.at(static_cast<std::size_t>(refusal.reason));
}

void TrafficMetrics::noteAttempt(const AttemptRecord& attempt)
{
    const auto kind = classOf(attempt);
    times(Stage::Queue, kind).note(attempt.queueTime);
    if (attempt.connectTime)
        times(Stage::Connection, kind).note(*attempt.connectTime);
    if (attempt.timeToFirstByte)
        times(Stage::FirstByte, kind).note(*attempt.timeToFirstByte);
}

void TrafficMetrics::fill(MetricsPage& page) const
{
    page.counter("answers_total", "Answers of targets passed to callers.", static_cast<double>(m_answers));
    page.counter("retries_total", "Requests sent to another target.", static_cast<double>(m_retries));
    page.counter("cut_answers_total", "Answers that ended unfinished.", static_cast<double>(m_cuts));
    page.gauge("connections", "Open connections of callers.", static_cast<double>(m_connections));
    fillEvents(page);
    fillTimes(page);
}

void TrafficMetrics::fillEvents(MetricsPage& page) const
{
    for (int i = 0; i < refusalReasonCount; ++i) {
        const auto reason = std::string(tarragonhaven::toString(static_cast<RefusalReason>(i)));
        const auto index = static_cast<std::size_t>(i);
        page.counter("refusals_total", "Requests refused, by reason.",
            static_cast<double>(m_refusals.at(index)), { { "reason", reason } });
        page.counter("failed_tries_total", "Tries at targets that brought no answer, by reason.",
            static_cast<double>(m_triesFailed.at(index)), { { "reason", reason } });
    }
    for (std::size_t i = 0; i < ejectionEvents; ++i)
        page.counter("ejection_events_total", "Changes of targets' standings at this entry.",
            static_cast<double>(m_ejections.at(i)),
            { { "event", std::string(tarragonhaven::toString(static_cast<EjectionEvent>(i))) } });
    for (std::size_t i = 0; i < breakerStates; ++i)
        page.counter("breaker_changes_total", "Changes of the breakers of guarded targets, by new state.",
            static_cast<double>(m_breakers.at(i)),
            { { "state", std::string(tarragonhaven::toString(static_cast<TargetBreaker::State>(i))) } });
}

void TrafficMetrics::fillTimes(MetricsPage& page) const
{
    for (const auto& [service, latency] : m_latency)
        page.histogram("first_byte_seconds", "Time from a request's head to the head of its answer.", latency,
            { { "service", service.text } });
    for (int stage = 0; stage < stageCount; ++stage) {
        for (int kind = 0; kind < requestClassCount; ++kind) {
            const auto& times
                = m_stages.at(static_cast<std::size_t>(stage)).at(static_cast<std::size_t>(kind));
            page.histogram("stage_seconds",
                "Time of tries at this node's targets by stage, and of whole requests at this entry.", times,
                { { "stage", toString(static_cast<Stage>(stage)) },
                    { "class", toString(static_cast<RequestClass>(kind)) } });
        }
    }
}

} // namespace tarragonhaven
