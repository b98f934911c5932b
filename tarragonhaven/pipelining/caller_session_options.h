#pragma once

#include "tarragonhaven/memory/head_limits.h"
#include "tarragonhaven/memory/progress_limits.h"
#include "tarragonhaven/pipelining/pipeline_limits.h"

namespace tarragonhaven {

// The limits of a node on each connection of a caller, beside the declared CallerLimits.
struct CallerSessionOptions {
    PipelineLimits pipeline;
    ProgressLimits progress;
    HeadLimits heads;
};

} // namespace tarragonhaven
