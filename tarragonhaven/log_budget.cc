#include "tarragonhaven/log_budget.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // What may be written at once, in seconds of the rate: a stop or a change of the fleet makes a burst of
    // lines that belong together.
    constexpr double burstSeconds = 2;
    // The share of the burst that is kept for warnings and errors.
    constexpr double keptForFailures = 0.5;

} // namespace

void LogBudget::Allowance::refill(double seconds)
{
    left = std::min(left + perSecond * seconds, perSecond * burstSeconds);
}

bool LogBudget::Allowance::allows(LogLevel level) const
{
    const double kept = level >= LogLevel::Warning ? 0 : perSecond * burstSeconds * keptForFailures;
    return left > kept;
}

LogBudget::LogBudget(const LogBudgetOptions& options, util::Time now)
    : m_lines { options.linesPerSecond, options.linesPerSecond * burstSeconds }
    , m_bytes { options.bytesPerSecond, options.bytesPerSecond * burstSeconds }
    , m_refilled(now)
{
}

bool LogBudget::admits(LogLevel level, util::Time now)
{
    const double seconds = util::toSeconds(now - m_refilled);
    m_refilled = now;
    m_lines.refill(seconds);
    m_bytes.refill(seconds);
    return m_lines.allows(level) && m_bytes.allows(level);
}

void LogBudget::charge(std::size_t bytes)
{
    m_lines.left -= 1;
    m_bytes.left -= static_cast<double>(bytes);
}

} // namespace tarragonhaven
