#include "tarragonhaven/pipelining/pipeline_limits.h"

#include "tarragonhaven/settings_checks.h"

namespace tarragonhaven {

namespace {

    constexpr double maximumPipelineRequests = 1000;
    // Less would not hold the parts of one body that are read at a time.
    constexpr double minimumPipelineBytes = 64 * 1024;
    constexpr double maximumPipelineBytes = 64 * 1024 * 1024;

} // namespace

PipelineLimits parsePipelineLimits(const RawPipelineLimits& raw, util::Faults& faults)
{
    const auto faultsBefore = faults.size();
    requireRange(raw.requests, 1, maximumPipelineRequests, "pipeline_requests", faults);
    requireRange(raw.bytes, minimumPipelineBytes, maximumPipelineBytes, "pipeline_bytes", faults);
    PipelineLimits limits;
    if (faults.size() == faultsBefore) {
        limits.requests = static_cast<std::size_t>(raw.requests);
        limits.heldBytes = static_cast<std::size_t>(raw.bytes);
    }
    return limits;
}

} // namespace tarragonhaven
