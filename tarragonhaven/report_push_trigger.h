#pragma once

#include "util/time.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

// Decides when a guard tells the entries of its target unasked. Entries learn of a target from its answers to
// them; one that sends it little would learn late that it fails others. So while a target fails, or is slower
// than it used to be, its guard sends its counters to every entry that has used it lately, at most once an
// interval.
class ReportPushTrigger {
public:
    // An answer, by log2 of the microseconds to its first byte.
    void recordLatency(double logLatency)
    {
        m_pushNeeded = m_pushNeeded || (m_hasAverage && logLatency > m_averageLogLatency + abnormalLogExcess);
        const double bounded
            = m_hasAverage ? std::min(logLatency, m_averageLogLatency + abnormalLogExcess) : logLatency;
        m_averageLogLatency
            = m_hasAverage ? averageDecay * m_averageLogLatency + (1 - averageDecay) * bounded : logLatency;
        m_hasAverage = true;
    }
    // A failure, or a request that has waited far longer than answers used to take.
    void recordFailure() { m_pushNeeded = true; }

    // Whether to send now. Saying so begins a new interval.
    bool due(util::Time now)
    {
        if (!m_pushNeeded || now - m_lastPush < interval)
            return false;
        m_pushNeeded = false;
        m_lastPush = now;
        return true;
    }

    // The age at which a request without its first byte is overdue.
    [[nodiscard]] util::Duration overdueAge() const
    {
        const double microseconds = m_hasAverage ? std::exp2(m_averageLogLatency + overdueLogExcess) : 0;
        const auto age = util::fromSeconds(microseconds / 1e6);
        return std::max<util::Duration>(age, minimumOverdueAge);
    }

    static constexpr util::Duration interval = std::chrono::milliseconds(200);

private:
    static constexpr double averageDecay = 0.98;
    static constexpr double abnormalLogExcess = 1.0;
    // Eight times the typical time.
    static constexpr double overdueLogExcess = 3.0;
    static constexpr util::Duration minimumOverdueAge = std::chrono::milliseconds(100);

    double m_averageLogLatency = 0;
    bool m_hasAverage = false;
    bool m_pushNeeded = false;
    util::Time m_lastPush {};
};

} // namespace tarragonhaven
