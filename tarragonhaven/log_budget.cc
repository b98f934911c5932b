#include "tarragonhaven/log_budget.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The size of the buckets, in seconds of the rate. A shutdown or a change of the fleet causes a burst of
    // related lines, which should be logged completely.
    constexpr double burstSeconds = 2;
    // The share of each bucket that only warnings and errors may use.
    constexpr double warningReserveShare = 0.5;

} // namespace

void LogBudget::Bucket::refill(double seconds)
{
    available = std::min(available + ratePerSecond * seconds, ratePerSecond * burstSeconds);
}

bool LogBudget::Bucket::allows(LogLevel level) const
{
    const double reserved
        = level >= LogLevel::Warning ? 0 : ratePerSecond * burstSeconds * warningReserveShare;
    return available > reserved;
}

LogBudget::LogBudget(const LogBudgetOptions& options, util::Time now)
    : m_lines { options.linesPerSecond, options.linesPerSecond * burstSeconds }
    , m_bytes { options.bytesPerSecond, options.bytesPerSecond * burstSeconds }
    , m_lastRefill(now)
{
}

bool LogBudget::admits(LogLevel level, util::Time now)
{
    const double seconds = util::toSeconds(now - m_lastRefill);
    m_lastRefill = now;
    m_lines.refill(seconds);
    m_bytes.refill(seconds);
    return m_lines.allows(level) && m_bytes.allows(level);
}

void LogBudget::charge(std::size_t bytes)
{
    m_lines.available -= 1;
    m_bytes.available -= static_cast<double>(bytes);
}

} // namespace tarragonhaven
