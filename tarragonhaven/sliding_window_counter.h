#pragma once

#include "util/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tarragonhaven {

// Counts events over a sliding window of 20 steps. Events expire by whole steps, so a count covers the window
// and up to one step more.
class SlidingWindowCounter {
public:
    explicit SlidingWindowCounter(util::Duration window)
        : m_stepLength(window / stepsPerWindow)
    {
    }

    void add(util::Time now)
    {
        advanceTo(now);
        ++m_counts.at(static_cast<std::size_t>(m_currentStep % storedSteps));
        ++m_sum;
    }

    std::uint32_t sum(util::Time now)
    {
        advanceTo(now);
        return m_sum;
    }

private:
    static constexpr std::int64_t stepsPerWindow = 20;
    // The steps of the window and the current, incomplete one.
    static constexpr std::int64_t storedSteps = stepsPerWindow + 1;

    // Drops the steps that have left the window.
    void advanceTo(util::Time now)
    {
        const auto step = now.time_since_epoch() / m_stepLength;
        if (step - m_currentStep >= storedSteps) {
            m_counts.fill(0);
            m_sum = 0;
            m_currentStep = step;
        }
        while (m_currentStep < step) {
            auto& oldest = m_counts.at(static_cast<std::size_t>(++m_currentStep % storedSteps));
            m_sum -= oldest;
            oldest = 0;
        }
    }

    util::Duration m_stepLength;
    std::array<std::uint32_t, storedSteps> m_counts {};
    std::int64_t m_currentStep = 0;
    std::uint32_t m_sum = 0;
};

} // namespace tarragonhaven
