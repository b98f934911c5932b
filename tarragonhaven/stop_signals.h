#pragma once

#include <csignal>
#include <functional>

namespace tarragonhaven {

// Blocks SIGTERM, SIGINT and SIGHUP, which the node's main thread waits for, and ignores SIGPIPE. Returns the
// blocked signals. Call this before any thread starts, so that all threads inherit the mask.
sigset_t blockNodeSignals();

// Waits for SIGTERM or SIGINT. Calls `onReload` for each SIGHUP that arrives until then.
void awaitStopSignal(const sigset_t& signals, const std::function<void()>& onReload);

// Waits until `drained` returns true. Returns false if a second SIGTERM or SIGINT arrives first; the process
// should then end at once.
bool awaitDrained(const sigset_t& signals, const std::function<bool()>& drained);

} // namespace tarragonhaven
