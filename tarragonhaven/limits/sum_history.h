#pragma once

#include "util/time.h"

#include <deque>
#include <utility>

namespace tarragonhaven {

// The recent values of a sum, one for each twentieth of a window, over one window.
class SumHistory {
public:
    explicit SumHistory(util::Duration window)
        : m_window(window)
    {
    }

    void record(double value, util::Time now)
    {
        if (!m_records.empty() && now - m_records.back().first < m_window / recordsPerWindow)
            return;
        m_records.emplace_back(now, value);
        // Keeps one record that is older than the window.
        while (m_records.size() > 1 && now - m_records[1].first >= m_window)
            m_records.pop_front();
    }

    // Returns the latest value that is at least `age` old, or 0 if there is none.
    [[nodiscard]] double before(util::Duration age, util::Time now) const
    {
        double found = 0;
        for (const auto& [time, value] : m_records) {
            if (now - time < age)
                break;
            found = value;
        }
        return found;
    }

private:
    static constexpr int recordsPerWindow = 20;

    util::Duration m_window;
    std::deque<std::pair<util::Time, double>> m_records;
};

} // namespace tarragonhaven
