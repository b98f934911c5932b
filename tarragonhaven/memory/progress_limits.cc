#include "tarragonhaven/memory/progress_limits.h"

#include "tarragonhaven/settings_checks.h"

namespace tarragonhaven {

namespace {

    constexpr double maximumBytesPerSecond = 1'000'000;
    constexpr double minimumSeconds = 0.1;
    constexpr double maximumSeconds = 3600;

} // namespace

ProgressLimits parseProgressLimits(const RawProgressLimits& raw, util::Faults& faults)
{
    const auto faultsBefore = faults.size();
    requireRange(raw.bodyBytesPerSecond, 1, maximumBytesPerSecond, "body_bytes_per_second", faults);
    requireRange(raw.bodyGraceSeconds, minimumSeconds, maximumSeconds, "body_grace_seconds", faults);
    requireRange(
        raw.responseTimeoutSeconds, minimumSeconds, maximumSeconds, "response_timeout_seconds", faults);
    ProgressLimits limits;
    if (faults.size() == faultsBefore) {
        limits.bodyBytesPerSecond = raw.bodyBytesPerSecond;
        limits.bodyGrace = util::fromSeconds(raw.bodyGraceSeconds);
        limits.responseTimeout = util::fromSeconds(raw.responseTimeoutSeconds);
    }
    return limits;
}

} // namespace tarragonhaven
