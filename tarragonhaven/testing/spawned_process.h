#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tarragonhaven::testing {

// A child process that is killed when this object is destroyed. Its standard output and standard error are
// appended to a file.
class SpawnedProcess {
public:
    // Throws std::runtime_error if the program cannot be started.
    SpawnedProcess(
        const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath);
    ~SpawnedProcess();
    SpawnedProcess(const SpawnedProcess&) = delete;
    SpawnedProcess& operator=(const SpawnedProcess&) = delete;

    // Returns the process id, also after the process has ended.
    [[nodiscard]] pid_t pid() const { return m_pid; }
    // Sends a signal. Does nothing if the process has ended.
    void sendSignal(int signalNumber);
    // Returns the exit status as a shell reports it: the exit code, or 128 plus the number of the signal that
    // ended the process. Returns nothing while the process runs.
    std::optional<int> exitStatus();
    // Waits for the end of the process, at most `timeout`. Returns the same as exitStatus().
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitStatus;
};

} // namespace tarragonhaven::testing
