#include "tarragonhaven/metrics_page.h"

#include <limits>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace tarragonhaven {

namespace {

    constexpr const char* prefix = "tarragonhaven_";

} // namespace

prometheus::ClientMetric& MetricsPage::add(
    const std::string& name, const std::string& help, prometheus::MetricType type, const Labels& labels)
{
    const auto [position, isNew] = m_familyIndexes.emplace(name, m_families.size());
    if (isNew)
        m_families.push_back({ prefix + name, help, type, {} });
    auto& rows = m_families[position->second].metric;
    rows.emplace_back();
    for (const auto& [label, value] : labels)
        rows.back().label.push_back({ label, value });
    return rows.back();
}

void MetricsPage::counter(
    const std::string& name, const std::string& help, double value, const Labels& labels)
{
    add(name, help, prometheus::MetricType::Counter, labels).counter.value = value;
}

void MetricsPage::gauge(const std::string& name, const std::string& help, double value, const Labels& labels)
{
    add(name, help, prometheus::MetricType::Gauge, labels).gauge.value = value;
}

void MetricsPage::histogram(
    const std::string& name, const std::string& help, const LatencyHistogram& times, const Labels& labels)
{
    auto& row = add(name, help, prometheus::MetricType::Histogram, labels).histogram;
    row.sample_count = times.count();
    row.sample_sum = times.sumSeconds();
    for (const auto& bucket : times.buckets())
        row.bucket.push_back({ bucket.cumulative, bucket.upperSeconds });
    row.bucket.push_back({ times.count(), std::numeric_limits<double>::infinity() });
}

std::string MetricsPage::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_families);
    return out.str();
}

} // namespace tarragonhaven
