#pragma once

#include "tarragonhaven/log_line.h"
#include "util/time.h"

#include <compare>
#include <cstddef>

namespace tarragonhaven {

// The rates up to which one thread may log.
struct LogBudgetOptions {
    double linesPerSecond = 1000;
    double bytesPerSecond = 500'000;

    friend auto operator<=>(const LogBudgetOptions&, const LogBudgetOptions&) = default;
    friend bool operator==(const LogBudgetOptions&, const LogBudgetOptions&) = default;
};

// Rate limiter for a log, made of one token bucket for lines and one for bytes. In any w seconds it admits at
// most (burst + w) x rate lines and bytes, where the burst is 2 s, plus one line, because the size of a line
// is known only after it has been formatted. Failures take precedence: a line below Warning is admitted only
// while more than half of the burst is available. Each call takes constant time.
//
//   if (budget.admits(level, now))
//       budget.charge(write(line));
class LogBudget {
public:
    LogBudget(const LogBudgetOptions& options, util::Time now);

    // Returns whether a line of this level may be written now.
    [[nodiscard]] bool admits(LogLevel level, util::Time now);
    // Subtracts a line that was admitted and written.
    void charge(std::size_t bytes);

private:
    // A token bucket. A token is one line or one byte. `available` becomes negative when a line is longer
    // than the bytes that were available.
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
