#pragma once

#include "tarragonhaven/latency_histogram.h"

#include <map>
#include <prometheus/metric_family.h>
#include <string>
#include <utility>
#include <vector>

namespace tarragonhaven {

// Gathers metrics and writes them in the text exposition format of Prometheus, version 0.0.4. Rows of one
// name stand together, in the order of their first. Names begin with "tarragonhaven_", which is added here.
class MetricsPage {
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    void counter(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    void gauge(const std::string& name, const std::string& help, double value, const Labels& labels = {});
    void histogram(const std::string& name, const std::string& help, const LatencyHistogram& times,
        const Labels& labels = {});

    [[nodiscard]] std::string text() const;

private:
    prometheus::ClientMetric& add(
        const std::string& name, const std::string& help, prometheus::MetricType type, const Labels& labels);

    std::vector<prometheus::MetricFamily> m_families;
    std::map<std::string, std::size_t> m_familyIndexes;
};

} // namespace tarragonhaven
