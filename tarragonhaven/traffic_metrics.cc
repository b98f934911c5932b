#include "tarragonhaven/traffic_metrics.h"

#include "util/text.h"

#include <absl/strings/str_cat.h>

namespace tarragonhaven {

namespace {

    namespace bh = boost::histogram;

    constexpr double lowestSeconds = 0.0001;
    constexpr double highestSeconds = 100;
    constexpr unsigned bins = 48;
    constexpr std::size_t maximumOrganisations = 1000;
    constexpr const char* otherOrganisations = "(others)";

    std::string counter(const std::string& metric, const std::string& help, const std::string& rows)
    {
        return absl::StrCat("# HELP ", metric, " ", help, "\n# TYPE ", metric, " counter\n", rows);
    }

} // namespace

TrafficMetrics::TrafficMetrics() = default;

TrafficMetrics::Histogram TrafficMetrics::makeHistogram()
{
    return bh::make_histogram(Axis(bins, lowestSeconds, highestSeconds));
}

OrganisationCounts& TrafficMetrics::countsOf(const OrganisationName& organisation)
{
    const auto found = m_organisations.find(organisation.text);
    if (found != m_organisations.end())
        return found->second;
    const bool full = m_organisations.size() >= maximumOrganisations;
    return m_organisations[full ? otherOrganisations : organisation.text];
}

void TrafficMetrics::noteAnswer(
    const ServiceName& service, const OrganisationName& organisation, util::Duration toFirstByte)
{
    ++m_answers;
    ++countsOf(organisation).answered;
    auto found = m_latency.find(service);
    if (found == m_latency.end())
        found = m_latency.emplace(service, makeHistogram()).first;
    found->second(util::toSeconds(toFirstByte));
}

void TrafficMetrics::noteRefusal(const OrganisationName& organisation, const Refusal& refusal)
{
    ++m_refusals.at(static_cast<std::size_t>(refusal.reason));
    auto& counts = countsOf(organisation);
    ++counts.refused;
    if (refusal.reason == RefusalReason::RateExceeded)
        ++counts.refusedForRate;
}

std::string TrafficMetrics::exposition() const
{
    std::string text = counter("tarragonhaven_answers_total", "Answers of targets passed to callers.",
        absl::StrCat("tarragonhaven_answers_total ", m_answers, "\n"));
    absl::StrAppend(&text,
        counter("tarragonhaven_retries_total", "Requests sent to another target.",
            absl::StrCat("tarragonhaven_retries_total ", m_retries, "\n")));
    absl::StrAppend(&text,
        counter("tarragonhaven_cut_answers_total", "Answers that ended unfinished.",
            absl::StrCat("tarragonhaven_cut_answers_total ", m_cuts, "\n")));
    std::string rows;
    for (int i = 0; i < refusalReasonCount; ++i) {
        const auto reason = util::toAbsl(name(static_cast<RefusalReason>(i)));
        absl::StrAppend(&rows, "tarragonhaven_refusals_total{reason=\"", reason, "\"} ",
            m_refusals.at(static_cast<std::size_t>(i)), "\n");
    }
    absl::StrAppend(&text, counter("tarragonhaven_refusals_total", "Requests refused, by reason.", rows));
    absl::StrAppend(&text,
        "# HELP tarragonhaven_first_byte_seconds Time from a request's head to the head of its ",
        "answer.\n# TYPE tarragonhaven_first_byte_seconds histogram\n");
    for (const auto& [service, histogram] : m_latency) {
        double total = histogram.at(-1);
        for (int i = 0; i < histogram.axis().size(); ++i) {
            total += histogram.at(i);
            absl::StrAppend(&text, "tarragonhaven_first_byte_seconds_bucket{service=\"", service.text,
                "\",le=\"", histogram.axis().bin(i).upper(), "\"} ", total, "\n");
        }
        total += histogram.at(histogram.axis().size());
        absl::StrAppend(&text, "tarragonhaven_first_byte_seconds_bucket{service=\"", service.text,
            "\",le=\"+Inf\"} ", total, "\n");
        absl::StrAppend(
            &text, "tarragonhaven_first_byte_seconds_count{service=\"", service.text, "\"} ", total, "\n");
    }
    absl::StrAppend(&text, "# HELP tarragonhaven_connections Open connections of callers.\n",
        "# TYPE tarragonhaven_connections gauge\ntarragonhaven_connections ", m_connections, "\n");
    return text;
}

} // namespace tarragonhaven
