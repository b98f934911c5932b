#include "tarragonhaven/latency_histogram.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    constexpr double lowestSeconds = 0.0001;
    constexpr double highestSeconds = 100;
    constexpr unsigned bucketCount = 24;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(bucketCount, lowestSeconds, highestSeconds)))
{
}

void LatencyHistogram::record(util::Duration time)
{
    const double seconds = std::max(0.0, util::toSeconds(time));
    // The axis is logarithmic and cannot hold zero, so times below its lowest edge count in the first bucket.
    m_histogram(std::max(seconds, lowestSeconds));
    ++m_count;
    m_sumSeconds += seconds;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> result;
    std::uint64_t cumulative = 0;
    for (int i = 0; i < m_histogram.axis().size(); ++i) {
        cumulative += static_cast<std::uint64_t>(static_cast<double>(m_histogram.at(i)));
        result.push_back({ m_histogram.axis().bin(i).upper(), cumulative });
    }
    return result;
}

} // namespace tarragonhaven
