#pragma once

#include "tarragonhaven/latency_histogram.h"

#include <map>
#include <prometheus/metric_family.h>
#include <string>
#include <utility>
#include <vector>

namespace tarragonhaven {

// Collects metrics and serializes them in the Prometheus text exposition format, version 0.0.4. Metrics of
// the same name are grouped, in the order in which the names were first added. The class prepends
// "tarragonhaven_" to all names.
class MetricsPage {
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    void counter(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    void gauge(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    // Adds a histogram of latencies in seconds, with a final bucket up to infinity.
    void histogram(const std::string& name, const std::string& help, const LatencyHistogram& times,
        const Labels& labels = {});

    // Returns all metrics added so far in the text exposition format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::ClientMetric& add(
        const std::string& name, const std::string& help, prometheus::MetricType type, const Labels& labels);

    std::vector<prometheus::MetricFamily> m_families;
    // Indexes into `m_families` by metric name, without the prefix.
    std::map<std::string, std::size_t> m_familyIndexes;
};

} // namespace tarragonhaven
