#pragma once

#include <algorithm>

namespace tarragonhaven {

// Limits retries to a share of first attempts, so that a failing service does not receive a multiple of its
// load. Each first attempt earns a part of a retry, up to a maximum. The budget starts full, so that a
// service with few requests can retry at all.
class RetryBudget {
public:
    void recordFirstAttempt()
    {
        m_available = std::min(maximumAvailable, m_available + sharePerFirstAttempt);
    }

    // Takes one retry from the budget, if there is one, for a repeat that is not refused.
    void recordNestedRepeat() { m_available = std::max(0.0, m_available - 1); }

    // Takes one retry from the budget. Returns false if the budget is spent.
    bool tryAcquireRetry()
    {
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

    // Takes one retry for a hedge. Returns false if half of the budget is spent.
    bool tryAcquireHedge() { return m_available > maximumAvailable / 2 && tryAcquireRetry(); }
    // Gives back a retry that was not used.
    void returnRetry() { m_available = std::min(maximumAvailable, m_available + 1); }

    [[nodiscard]] double available() const { return m_available; }

    static constexpr double sharePerFirstAttempt = 0.1;
    static constexpr double maximumAvailable = 20;

private:
    double m_available = maximumAvailable;
};

} // namespace tarragonhaven
