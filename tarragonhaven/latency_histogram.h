#pragma once

#include "util/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace tarragonhaven {

// Times from 0.1 ms to 100 s in four bins a decade; what lies beyond goes to the ends. Some 600 bytes.
class LatencyHistogram {
public:
    struct Bucket {
        double upperSeconds = 0;
        // Of all times up to this one.
        std::uint64_t cumulative = 0;
    };

    LatencyHistogram();

    void record(util::Duration time);
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
