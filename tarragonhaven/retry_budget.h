#pragma once

#include <algorithm>

namespace tarragonhaven {

// Bounds retries to a share of first tries, so that a failing service is not sent a multiple of its load.
// Each first try earns a part of a retry, up to a bound that lets a quiet service retry at all.
class RetryBudget {
public:
    void noteFirstTry() { m_earned = std::min(maximumEarned, m_earned + sharePerFirstTry); }

    // Takes one retry from the budget. Returns false when it is spent.
    bool takeRetry()
    {
        if (m_earned < 1)
            return false;
        m_earned -= 1;
        return true;
    }

    [[nodiscard]] double earned() const { return m_earned; }

    static constexpr double sharePerFirstTry = 0.1;
    static constexpr double maximumEarned = 20;

private:
    double m_earned = maximumEarned;
};

} // namespace tarragonhaven
