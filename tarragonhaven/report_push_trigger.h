#pragma once

#include "util/time.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

// Decides when a guard sends reports on its target to entry nodes on its own initiative. Reports normally
// accompany responses, so an entry node that sends a target few requests would learn late that the target
// fails requests of others. Therefore, while a target fails or is slower than it used to be, and when it
// announces something new about itself, its guard sends its report to every entry node that has used it
// recently, at most once per interval.
class ReportPushTrigger {
public:
    // Records a success; `logLatency` is log2 of the microseconds to the first byte.
    void recordLatency(double logLatency)
    {
        m_pushNeeded = m_pushNeeded || (m_hasAverage && logLatency > m_averageLogLatency + abnormalLogExcess);
        const double bounded
            = m_hasAverage ? std::min(logLatency, m_averageLogLatency + abnormalLogExcess) : logLatency;
        m_averageLogLatency
            = m_hasAverage ? averageDecay * m_averageLogLatency + (1 - averageDecay) * bounded : logLatency;
        m_hasAverage = true;
    }
    // Records a failure, or a request that has waited far longer than responses used to take.
    void recordFailure() { m_pushNeeded = true; }
    // Records that the target has announced something new about itself.
    void recordChange() { m_pushNeeded = true; }

    // Returns whether to send a report now. Returning true starts a new interval.
    bool due(util::Time now)
    {
        if (!m_pushNeeded || now - m_lastPush < interval)
            return false;
        m_pushNeeded = false;
        m_lastPush = now;
        return true;
    }

    // Returns the age at which a request without a first byte is overdue.
    [[nodiscard]] util::Duration overdueAge() const
    {
        const double microseconds = m_hasAverage ? std::exp2(m_averageLogLatency + overdueLogExcess) : 0;
        const auto age = util::fromSeconds(microseconds / 1e6);
        return std::max<util::Duration>(age, minimumOverdueAge);
    }

    static constexpr util::Duration interval = std::chrono::milliseconds(200);

private:
    static constexpr double averageDecay = 0.98;
    // As a base-2 logarithm: a success that takes more than twice the average time triggers a report.
    static constexpr double abnormalLogExcess = 1.0;
    // As a base-2 logarithm: a request is overdue after eight times the average time.
    static constexpr double overdueLogExcess = 3.0;
    static constexpr util::Duration minimumOverdueAge = std::chrono::milliseconds(100);

    double m_averageLogLatency = 0;
    bool m_hasAverage = false;
    bool m_pushNeeded = false;
    util::Time m_lastPush {};
};

} // namespace tarragonhaven
