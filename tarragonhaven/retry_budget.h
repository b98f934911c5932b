#pragma once

#include "util/time.h"

#include <algorithm>

namespace tarragonhaven {

struct RetryBudgetOptions {
    // What a first try earns, in retries.
    double sharePerFirstTry = 0.1;
    // What time earns, in retries a second.
    double perSecond = 0;
    double maximumEarned = 20;
    double initiallyEarned = 20;
};

// Bounds retries to a share of first tries, so that a failing service is not sent a multiple of its load.
// Each first try earns a part of a retry, and so does time, up to a bound that lets a quiet service retry at
// all. In a window of length w with n first tries at most maximumEarned + perSecond x w + sharePerFirstTry x
// n retries are taken.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : m_options(options)
        , m_earned(options.initiallyEarned)
    {
    }

    // Takes over other options; what was earned stays, up to the new bound.
    void update(RetryBudgetOptions options)
    {
        m_options = options;
        m_earned = std::min(m_earned, m_options.maximumEarned);
    }

    void noteFirstTry() { earn(m_options.sharePerFirstTry); }

    // Takes one retry from the budget. Returns false when it is spent.
    bool takeRetry(util::Time now)
    {
        if (m_earnedUntil != util::Time {})
            earn(m_options.perSecond * std::max(0.0, util::toSeconds(now - m_earnedUntil)));
        m_earnedUntil = now;
        if (m_earned < 1)
            return false;
        m_earned -= 1;
        return true;
    }

    [[nodiscard]] double earned() const { return m_earned; }

private:
    void earn(double retries) { m_earned = std::min(m_options.maximumEarned, m_earned + retries); }

    RetryBudgetOptions m_options;
    double m_earned;
    util::Time m_earnedUntil {};
};

} // namespace tarragonhaven
