#pragma once

#include "tarragonhaven/memory/progress_limits.h"

#include <algorithm>
#include <cstddef>

namespace tarragonhaven {

// Decides how long a node waits for the next part of a body. Waiting uses up the grace period, and bytes that
// arrive restore as much of it as they take at the required rate. So a caller that keeps the rate may pause
// for the grace period at any time, and one that sends single bytes is refused however often it does.
class BodyProgress {
public:
    explicit BodyProgress(const ProgressLimits& limits)
        : m_limits(limits)
        , m_remaining(limits.bodyGrace)
    {
    }

    // Records a time for which nothing but the caller held up the body.
    void recordWait(util::Duration time)
    {
        m_remaining = std::max(util::Duration::zero(), m_remaining - time);
    }
    void recordBytes(std::size_t bytes)
    {
        const auto earned = util::fromSeconds(static_cast<double>(bytes) / m_limits.bodyBytesPerSecond);
        m_remaining = std::min(m_limits.bodyGrace, m_remaining + earned);
    }
    // Returns how much longer the node waits for the caller.
    [[nodiscard]] util::Duration remaining() const { return m_remaining; }

private:
    ProgressLimits m_limits;
    util::Duration m_remaining;
};

} // namespace tarragonhaven
