#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace rig {

using Clock = std::chrono::steady_clock;

// Writes what was sent, answered and run to a file, one event a line, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }

    void write(const std::string& event);
    // Returns the seconds since the start of the record.
    [[nodiscard]] double now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

void sleepMs(int milliseconds);

// Returns whether the case plays its disruption: not if TROUBLE is 0 in the environment.
bool hasTrouble();

} // namespace rig
