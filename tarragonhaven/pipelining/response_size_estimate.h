#pragma once

#include <algorithm>
#include <cstddef>

namespace tarragonhaven {

// Estimates the size of the next response on a connection from those before. Follows a larger response at
// once and smaller ones slowly, since a response that was taken for smaller occupies a slot of its target
// while it waits for memory.
class ResponseSizeEstimate {
public:
    // `maximumBytes` bounds the estimate.
    explicit ResponseSizeEstimate(std::size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    // Records the size of a response.
    void record(std::size_t bytes)
    {
        recordAtLeast(bytes);
        if (bytes < m_bytes)
            m_bytes -= (m_bytes - bytes) / decayDivisor;
    }
    // Records that a response that is still arriving has at least this size.
    void recordAtLeast(std::size_t bytes) { m_bytes = std::max(m_bytes, std::min(bytes, m_maximumBytes)); }
    [[nodiscard]] std::size_t bytes() const { return std::max(m_bytes, minimumBytes); }

private:
    // Two parts of a body as they are read from a target.
    static constexpr std::size_t minimumBytes = 32 * 1024;
    static constexpr std::size_t decayDivisor = 16;

    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
};

} // namespace tarragonhaven
