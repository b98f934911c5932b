#pragma once

#include "util/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tarragonhaven {

// Counts events over a sliding window, in twenty steps: a count is that of the window and up to one step
// more.
class SlidingCount {
public:
    explicit SlidingCount(util::Duration window)
        : m_step(window / steps)
    {
    }

    void add(util::Time now)
    {
        moveTo(now);
        ++m_counts.at(static_cast<std::size_t>(m_current % slots));
        ++m_sum;
    }

    std::uint32_t sum(util::Time now)
    {
        moveTo(now);
        return m_sum;
    }

private:
    static constexpr std::int64_t steps = 20;
    static constexpr std::int64_t slots = steps + 1;

    // Empties the steps that have left the window.
    void moveTo(util::Time now)
    {
        const auto step = now.time_since_epoch() / m_step;
        if (step - m_current >= slots) {
            m_counts.fill(0);
            m_sum = 0;
            m_current = step;
        }
        while (m_current < step) {
            auto& oldest = m_counts.at(static_cast<std::size_t>(++m_current % slots));
            m_sum -= oldest;
            oldest = 0;
        }
    }

    util::Duration m_step;
    std::array<std::uint32_t, slots> m_counts {};
    std::int64_t m_current = 0;
    std::uint32_t m_sum = 0;
};

} // namespace tarragonhaven
