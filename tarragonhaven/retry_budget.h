#pragma once

#include <algorithm>

namespace tarragonhaven {

// Bounds retries to a share of first tries, so that a failing service is not sent a multiple of its load.
// Each first try earns a part of a retry, up to a bound that lets a quiet service retry at all.
class RetryBudget {
public:
    void recordFirstAttempt()
    {
        m_available = std::min(maximumAvailable, m_available + sharePerFirstAttempt);
    }

    // Takes one retry from the budget. Returns false when it is spent.
    bool tryAcquireRetry()
    {
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

    [[nodiscard]] double available() const { return m_available; }

    static constexpr double sharePerFirstAttempt = 0.1;
    static constexpr double maximumAvailable = 20;

private:
    double m_available = maximumAvailable;
};

} // namespace tarragonhaven
