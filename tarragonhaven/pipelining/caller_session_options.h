#pragma once

#include "tarragonhaven/memory/head_limits.h"
#include "tarragonhaven/memory/progress_limits.h"
#include "tarragonhaven/pipelining/pipeline_limits.h"

#include <cstddef>

namespace tarragonhaven {

// The limits of a node on the connections of its callers, beside the declared CallerLimits.
struct CallerSessionOptions {
    PipelineLimits pipeline;
    ProgressLimits progress;
    HeadLimits heads;
    // The bound of the memory that is held for all callers. The default is that of a machine with 160 MB.
    std::size_t memoryBoundBytes = 64 * 1024 * 1024;
};

} // namespace tarragonhaven
