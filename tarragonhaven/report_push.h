#pragma once

#include "util/time.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

// Decides when a guard tells the entries of its target unasked. Entries learn of a target from its answers to
// them; one that sends it little would learn late that it fails others. So while a target fails, or is slower
// than it used to be, its guard sends its counters to every entry that has used it lately, at most once an
// interval.
class ReportPush {
public:
    // An answer, by log2 of the microseconds to its first byte.
    void noteAnswer(double logLatency)
    {
        m_abnormal = m_abnormal || (m_known && logLatency > m_typical + slowerLog);
        const double bounded = m_known ? std::min(logLatency, m_typical + slowerLog) : logLatency;
        m_typical = m_known ? keep * m_typical + (1 - keep) * bounded : logLatency;
        m_known = true;
    }
    // A failure, or a request that has waited far longer than answers used to take.
    void noteFailure() { m_abnormal = true; }

    // Whether to send now. Saying so begins a new interval.
    bool due(util::Time now)
    {
        if (!m_abnormal || now - m_last < interval)
            return false;
        m_abnormal = false;
        m_last = now;
        return true;
    }

    // The age at which a request without its first byte is overdue.
    [[nodiscard]] util::Duration overdueAge() const
    {
        const double microseconds = m_known ? std::exp2(m_typical + overdueLog) : 0;
        const auto age = util::fromSeconds(microseconds / 1e6);
        return std::max<util::Duration>(age, shortestOverdue);
    }

    static constexpr util::Duration interval = std::chrono::milliseconds(200);

private:
    static constexpr double keep = 0.98;
    static constexpr double slowerLog = 1.0;
    // Eight times the typical time.
    static constexpr double overdueLog = 3.0;
    static constexpr util::Duration shortestOverdue = std::chrono::milliseconds(100);

    double m_typical = 0;
    bool m_known = false;
    bool m_abnormal = false;
    util::Time m_last {};
};

} // namespace tarragonhaven
