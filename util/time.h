#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace util {

using Duration = std::chrono::nanoseconds;

// A monotonic clock that also advances while the machine is suspended, so that a process that resumes late
// detects that its leases have expired. The resolution is one nanosecond; the epoch is the boot of the
// machine.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using Time = BootClock::time_point;

// A source of the current time. Code that makes decisions by time takes it as a template parameter, so that
// tests can control the time.
template <typename T>
concept Clock = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<Time>;
};

// The clock that programs use outside tests.
struct SystemClock {
    [[nodiscard]] Time now() const noexcept { return BootClock::now(); }
};

// A clock that a test sets. It starts at one hour.
class ManualClock {
public:
    [[nodiscard]] Time now() const noexcept { return m_now; }
    void advance(Duration step) { m_now += step; }
    void moveTo(Time now) { m_now = now; }

private:
    Time m_now { std::chrono::hours(1) };
};

// Returns the wall clock time in whole seconds since 1970, for expiry dates that operators configure.
std::int64_t wallSeconds();

// Converts a duration to seconds.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Converts seconds to a duration.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace util
