#pragma once

#include <csignal>
#include <functional>

namespace tarragonhaven {

// Blocks the signals that a node waits for in its main thread, and ignores SIGPIPE. Call it before any thread
// starts.
sigset_t blockNodeSignals();

// Waits for SIGTERM or SIGINT. Calls `onReload` for each SIGHUP meanwhile.
void awaitStopSignal(const sigset_t& signals, const std::function<void()>& onReload);

// Waits until `drained` says so. Returns false when a second signal to stop asks to end at once.
bool awaitDrained(const sigset_t& signals, const std::function<bool()>& drained);

} // namespace tarragonhaven
