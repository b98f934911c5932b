#include "tarragonhaven/stop_signals.h"

#include <ctime>

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

bool awaitDrained(const sigset_t& signals, const std::function<bool()>& drained)
{
    constexpr timespec pollInterval { 0, 20'000'000 };
    while (!drained()) {
        const int signal = sigtimedwait(&signals, nullptr, &pollInterval);
        if (signal == SIGTERM || signal == SIGINT)
            return false;
    }
    return true;
}

} // namespace tarragonhaven
