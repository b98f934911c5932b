#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tarragonhaven::testing {

// A program that was started here, and that is ended with this object. Its output is appended to a file.
class SpawnedProcess {
public:
    // Throws when it cannot be started.
    SpawnedProcess(
        const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath);
    ~SpawnedProcess();
    SpawnedProcess(const SpawnedProcess&) = delete;
    SpawnedProcess& operator=(const SpawnedProcess&) = delete;

    // Sends a signal, unless the process has ended.
    void sendSignal(int signalNumber);
    // The process's end as a shell tells it (the exit code, or 128 and the signal), once it has ended.
    std::optional<int> exitStatus();
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitStatus;
};

} // namespace tarragonhaven::testing
