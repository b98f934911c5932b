#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace util {

using Duration = std::chrono::nanoseconds;

// A monotonic clock that keeps counting while the machine is suspended, so that a process that wakes late
// sees that its leases have run out. Resolution is one nanosecond; the epoch is the boot of the machine.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using Time = BootClock::time_point;

// A source of the current time. Decision code takes it as a template parameter so that tests can drive it.
template <typename T>
concept Clock = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<Time>;
};

// The clock of the running process.
struct SystemClock {
    [[nodiscard]] Time now() const noexcept { return BootClock::now(); }
};

// A clock that a test moves by hand.
class ManualClock {
public:
    [[nodiscard]] Time now() const noexcept { return m_now; }
    void advance(Duration step) { m_now += step; }
    void moveTo(Time now) { m_now = now; }

private:
    Time m_now { std::chrono::hours(1) };
};

// The wall clock in whole seconds since 1970, for expiry dates that operators write.
std::int64_t wallSeconds();

// A duration in seconds as a floating point number.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// A floating point number of seconds as a duration.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace util
