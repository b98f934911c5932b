#include "tarragonhaven/stop_signals.h"

#include <chrono>
#include <thread>

namespace tarragonhaven {

sigset_t blockNodeSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void awaitStopSignal(const sigset_t& signals, const std::function<void()>& onReload)
{
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        if (signal == SIGHUP)
            onReload();
    }
}

// The signals stay blocked, so that they neither interrupt the wait nor end the process.
void awaitDrained(const std::function<bool()>& drained)
{
    constexpr auto pollInterval = std::chrono::milliseconds(20);
    while (!drained())
        std::this_thread::sleep_for(pollInterval);
}

} // namespace tarragonhaven
