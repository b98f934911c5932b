#pragma once

#include "tarragonhaven/log_line.h"
#include "util/time.h"

#include <compare>
#include <cstddef>

namespace tarragonhaven {

// How much one thread may log.
struct LogBudgetOptions {
    double linesPerSecond = 1000;
    double bytesPerSecond = 500'000;

    friend auto operator<=>(const LogBudgetOptions&, const LogBudgetOptions&) = default;
    friend bool operator==(const LogBudgetOptions&, const LogBudgetOptions&) = default;
};

// Bounds the volume of a log: in any w seconds at most (burst + w) x rate lines and bytes are let through,
// and one line more, since a line's bytes are known only once it is made. Failures go before successes: a
// line below Warning is let through only while more than half of the burst is left. O(1) a line.
//
//   if (budget.admits(level, now))
//       budget.charge(write(line));
class LogBudget {
public:
    LogBudget(const LogBudgetOptions& options, util::Time now);

    [[nodiscard]] bool admits(LogLevel level, util::Time now);
    // Notes a line that was let through.
    void charge(std::size_t bytes);

private:
    // Lines or bytes that may still be written; negative after a line that was longer than what was left.
    struct Bucket {
        double ratePerSecond = 0;
        double available = 0;

        void refill(double seconds);
        [[nodiscard]] bool allows(LogLevel level) const;
    };

    Bucket m_lines;
    Bucket m_bytes;
    util::Time m_lastRefill;
};

} // namespace tarragonhaven
