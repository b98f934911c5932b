#pragma once

#include "util/time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace tarragonhaven {

// Bounds the log lines about events that callers may cause in any number: at most one line in each interval,
// which states the number of events since the last one.
class LineLimiter {
public:
    explicit LineLimiter(util::Duration interval = std::chrono::seconds(1))
        : m_interval(interval)
    {
    }

    // Counts an event. Returns the number of events since the last line, with this one, if a line is to be
    // written now.
    std::optional<std::uint64_t> record(util::Time now)
    {
        ++m_events;
        if (m_lastLine && now - *m_lastLine < m_interval)
            return std::nullopt;
        m_lastLine = now;
        return std::exchange(m_events, 0);
    }

private:
    util::Duration m_interval;
    std::optional<util::Time> m_lastLine;
    std::uint64_t m_events = 0;
};

} // namespace tarragonhaven
