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

    constexpr int signalBase = 128;
    constexpr auto pollInterval = std::chrono::milliseconds(10);

} // namespace

SpawnedProcess::SpawnedProcess(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& output)
{
    std::vector<char*> argumentList { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        argumentList.push_back(const_cast<char*>(argument.c_str()));
    argumentList.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of this process stay here.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int fault = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argumentList.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (fault != 0)
        throw std::runtime_error(program + ": " + std::strerror(fault));
}

SpawnedProcess::~SpawnedProcess()
{
    signal(SIGKILL);
    if (!m_status)
        waitpid(m_pid, nullptr, 0);
}

void SpawnedProcess::signal(int number)
{
    if (!ended())
        kill(m_pid, number);
}

std::optional<int> SpawnedProcess::ended()
{
    int status = 0;
    if (!m_status && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    return m_status;
}

std::optional<int> SpawnedProcess::awaitEnd(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!ended() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(pollInterval);
    return m_status;
}

} // namespace tarragonhaven::testing
