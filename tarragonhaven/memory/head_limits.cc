#include "tarragonhaven/memory/head_limits.h"

#include "tarragonhaven/settings_checks.h"

namespace tarragonhaven {

namespace {

    constexpr double minimumFields = 16;
    constexpr double maximumFields = 10'000;
    // Less would refuse a head of 16 kB that consists of one field.
    constexpr double minimumMemoryBytes = 48 * 1024;
    constexpr double maximumMemoryBytes = 16 * 1024 * 1024;

} // namespace

HeadLimits parseHeadLimits(const RawHeadLimits& raw, util::Faults& faults)
{
    const auto faultsBefore = faults.size();
    requireRange(raw.fields, minimumFields, maximumFields, "head_fields", faults);
    requireRange(raw.memoryBytes, minimumMemoryBytes, maximumMemoryBytes, "head_memory_bytes", faults);
    HeadLimits limits;
    if (faults.size() == faultsBefore) {
        limits.fields = static_cast<std::size_t>(raw.fields);
        limits.memoryBytes = static_cast<std::size_t>(raw.memoryBytes);
    }
    return limits;
}

} // namespace tarragonhaven
