#include "tarragonhaven/testing/spawned_process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace tarragonhaven::testing {

namespace {

    constexpr int signalExitStatusBase = 128;
    constexpr auto pollInterval = std::chrono::milliseconds(10);

} // namespace

SpawnedProcess::SpawnedProcess(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath)
{
    std::vector<char*> argumentList { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        argumentList.push_back(const_cast<char*>(argument.c_str()));
    argumentList.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Otherwise the child would inherit the open sockets of this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argumentList.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error(program + ": cannot be started: " + std::strerror(error));
}

SpawnedProcess::~SpawnedProcess()
{
    sendSignal(SIGKILL);
    if (!m_exitStatus)
        waitpid(m_pid, nullptr, 0);
}

void SpawnedProcess::sendSignal(int signalNumber)
{
    if (!exitStatus())
        kill(m_pid, signalNumber);
}

std::optional<int> SpawnedProcess::exitStatus()
{
    int status = 0;
    if (!m_exitStatus && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitStatusBase + WTERMSIG(status);
    return m_exitStatus;
}

std::optional<int> SpawnedProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!exitStatus() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollInterval);
    return m_exitStatus;
}

} // namespace tarragonhaven::testing
