#pragma once

#include "util/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace tarragonhaven {

// Histogram of latencies from 0.1 ms to 100 s, with four logarithmic buckets per decade. Shorter times count
// in the first bucket; longer ones count only in count() and sumSeconds(). An object takes about 600 bytes.
class LatencyHistogram {
public:
    struct Bucket {
        double upperSeconds = 0;
        // The number of recorded times up to `upperSeconds`.
        std::uint64_t cumulative = 0;
    };

    LatencyHistogram();

    void record(util::Duration time);
    // Returns the buckets in ascending order, with cumulative counts.
    [[nodiscard]] std::vector<Bucket> buckets() const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] double sumSeconds() const { return m_sumSeconds; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

} // namespace tarragonhaven
