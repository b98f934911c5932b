#pragma once

#include <csignal>
#include <functional>

namespace tarragonhaven {

// Blocks SIGTERM, SIGINT and SIGHUP, which the node's main thread waits for, and ignores SIGPIPE. Returns the
// blocked signals. Call this before any thread starts, so that all threads inherit the mask.
sigset_t blockNodeSignals();

// Waits for SIGTERM or SIGINT. Calls `onReload` for each SIGHUP that arrives until then.
void awaitStopSignal(const sigset_t& signals, const std::function<void()>& onReload);

// Waits until `drained` returns true. Signals that arrive meanwhile have no effect: whatever stops the node
// once more, its requests in progress are completed, and it ends within its grace period.
void awaitDrained(const std::function<bool()>& drained);

} // namespace tarragonhaven
