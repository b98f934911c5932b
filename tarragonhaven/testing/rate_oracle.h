#pragma once

#include "util/time.h"

#include <algorithm>
#include <string>

namespace tarragonhaven::testing {

// Checks, from the times at which requests were let run, that at most burst + rate * w of them ran in every
// window of length w. It models a bucket that starts full and that each request drains by one token: the
// level falls below zero exactly when some window that ends there holds more.
class RateOracle {
public:
    RateOracle(double ratePerSecond, double burst)
        : m_rate(ratePerSecond)
        , m_burst(burst)
        , m_level(burst)
    {
    }

    // Records that a request was let run. Times must not decrease.
    void recordRun(util::Time now)
    {
        if (m_last != util::Time {})
            m_level = std::min(m_burst, m_level + util::toSeconds(now - m_last) * m_rate);
        m_last = now;
        m_level -= 1;
        m_lowest = std::min(m_lowest, m_level);
        ++m_count;
    }

    // Returns by how many requests the worst window exceeded the bound; 0 or less if no window did.
    [[nodiscard]] double worstExcess() const { return -m_lowest; }
    [[nodiscard]] long count() const { return m_count; }

private:
    double m_rate;
    double m_burst;
    double m_level;
    double m_lowest = 0;
    util::Time m_last {};
    long m_count = 0;
};

} // namespace tarragonhaven::testing
