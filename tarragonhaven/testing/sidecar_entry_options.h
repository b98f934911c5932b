#pragma once

#include "tarragonhaven/entry_options.h"

namespace tarragonhaven::testing {

// Returns the options by which the entry of a sidecar node plans attempts, for models without sockets.
inline EntryOptions sidecarOptions()
{
    EntryOptions options;
    options.nonQueuingAttempts = 5;
    options.remoteNonQueuingAttempts = 1;
    options.remoteCostFactor = 1.5;
    options.spilloverLoad = 0.7;
    options.queueTimeoutShareOfObjective = 1.5;
    options.maximumFullQueues = 5;
    options.noSuccessPenalty = 0.5;
    return options;
}

} // namespace tarragonhaven::testing
