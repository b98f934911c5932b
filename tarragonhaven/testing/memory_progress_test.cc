// How slowly a caller may send a body, without a network.

#include "tarragonhaven/memory/body_progress.h"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

namespace tarragonhaven::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    ProgressLimits limits()
    {
        ProgressLimits result;
        result.bodyBytesPerSecond = 100;
        result.bodyGrace = seconds(10);
        return result;
    }

    // Returns after how long a caller is refused that sends `bytes` every `interval`, or nothing if it is not
    // refused within an hour.
    std::optional<util::Duration> refusedAfter(std::size_t bytes, util::Duration interval)
    {
        BodyProgress progress(limits());
        for (util::Duration elapsed {}; elapsed < std::chrono::hours(1); elapsed += interval) {
            if (progress.remaining() < interval)
                return elapsed + progress.remaining();
            progress.recordWait(interval);
            progress.recordBytes(bytes);
        }
        return std::nullopt;
    }

} // namespace

// Guards against bodies that stay open for ever because single bytes restart their time limit.
TEST_CASE("a body that is slower than the required rate is refused, however often its bytes arrive")
{
    CHECK(refusedAfter(0, seconds(1)) == seconds(10));
    CHECK(refusedAfter(1, seconds(1)));
    CHECK(refusedAfter(1, seconds(9)));
    CHECK(refusedAfter(50, seconds(1)));
    CHECK(refusedAfter(1, milliseconds(20)));
    CHECK(refusedAfter(2000, seconds(30)) == seconds(10));
}

// Guards against refusing callers that keep the rate, in small pieces or with pauses.
TEST_CASE("a body that keeps the required rate is not refused, with pauses up to the grace period")
{
    CHECK_FALSE(refusedAfter(1, milliseconds(10)));
    CHECK_FALSE(refusedAfter(100, seconds(1)));
    CHECK_FALSE(refusedAfter(1000, seconds(10)));
}

// Guards against a caller that earns a long stall with a fast begin.
TEST_CASE("bytes that were sent fast do not extend the grace period")
{
    BodyProgress progress(limits());
    progress.recordBytes(64 * 1024 * 1024);
    CHECK(progress.remaining() == seconds(10));
}

// Guards against rates that the rule itself does not allow: over any time, what was waited exceeds the grace
// period plus the time that the bytes take at the rate.
TEST_CASE("random bodies are waited for no longer than the grace period and their bytes allow")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(seed);
    std::mt19937 random(seed);
    BodyProgress progress(limits());
    util::Duration waited {};
    util::Duration allowed = seconds(10);
    for (int part = 0; part < 10'000; ++part) {
        const auto wait = std::min<util::Duration>(milliseconds(random() % 3000), progress.remaining());
        const std::size_t bytes = random() % 300;
        progress.recordWait(wait);
        progress.recordBytes(bytes);
        waited += wait;
        allowed += milliseconds(10 * bytes);
        REQUIRE(waited <= allowed);
        REQUIRE(progress.remaining() <= seconds(10));
    }
}

} // namespace tarragonhaven::testing
