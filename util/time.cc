#include "util/time.h"

#include <ctime>

namespace util {

BootClock::time_point BootClock::now() noexcept
{
    timespec spec {};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec));
}

std::int64_t wallSeconds() { return static_cast<std::int64_t>(std::time(nullptr)); }

} // namespace util
