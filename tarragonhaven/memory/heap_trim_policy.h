#pragma once

#include <cstddef>

namespace tarragonhaven {

// Decides when a process returns the free memory of its heap to the system. The allocator keeps what a client
// flood has left behind, so that the process would stay at the peak of the flood for ever.
//
// Trimming is due when the resident memory is well above what was left by the last time, and no longer rises.
class HeapTrimPolicy {
public:
    // Returns whether to trim now. To be called about once a second.
    bool due(std::size_t residentBytes)
    {
        const bool rising = residentBytes > m_previousBytes + risingBytes;
        m_previousBytes = residentBytes;
        return !rising && residentBytes > m_trimmedBytes + minimumGrowthBytes;
    }
    // Records the resident memory after trimming.
    void recordTrimmed(std::size_t residentBytes)
    {
        m_trimmedBytes = residentBytes;
        m_previousBytes = residentBytes;
    }

private:
    // A tenth of the memory of an idle process.
    static constexpr std::size_t minimumGrowthBytes = 1024 * 1024;
    static constexpr std::size_t risingBytes = 256 * 1024;

    std::size_t m_trimmedBytes = 0;
    std::size_t m_previousBytes = 0;
};

} // namespace tarragonhaven
