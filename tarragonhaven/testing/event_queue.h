#pragma once

#include "util/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace tarragonhaven::testing {

// The events of a model with a virtual clock, in the order of their times; those of one time in the order in
// which they were scheduled, so that a run depends on its seed only.
class EventQueue {
public:
    struct Event {
        util::Time at {};
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const Event& a, const Event& b)
        {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    void schedule(util::Time at, std::function<void()> action)
    {
        m_events.push({ at, ++m_lastNumber, std::move(action) });
    }
    // Removes and returns the next event, if there is one up to `end`.
    std::optional<Event> takeNext(util::Time end = util::Time::max())
    {
        if (m_events.empty() || m_events.top().at > end)
            return std::nullopt;
        auto event = m_events.top();
        m_events.pop();
        return event;
    }

private:
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastNumber = 0;
};

} // namespace tarragonhaven::testing
