#include "tarragonhaven/target_breaker.h"

#include <catch2/catch.hpp>
#include <random>

using namespace tarragonhaven;

namespace {

const util::Time start { std::chrono::hours(1) };

util::Time at(int milliseconds) { return start + std::chrono::milliseconds(milliseconds); }

// Sends a request that ends immediately with `result`.
void run(TargetBreaker& breaker, TargetResult result, util::Time now)
{
    const bool probe = breaker.recordSent();
    breaker.recordResult(result, probe, now);
}

} // namespace

TEST_CASE("a connection reset opens the breaker, and two successful half-open probes close it")
{
    TargetBreaker breaker;
    run(breaker, TargetResult::Success, at(0));
    run(breaker, TargetResult::HardFailure, at(10));
    CHECK(breaker.state(at(11)) == TargetBreaker::State::Open);
    CHECK_FALSE(breaker.admits(true, at(11)));
    CHECK(breaker.state(at(270)) == TargetBreaker::State::HalfOpen);
    CHECK(breaker.admits(true, at(270)));
    CHECK_FALSE(breaker.admits(false, at(270)));
    CHECK(breaker.timeUntilAdmitted(true, at(200)) == std::chrono::milliseconds(60));
    CHECK(breaker.timeUntilAdmitted(false, at(270)) > util::Duration {});
    run(breaker, TargetResult::Success, at(280));
    CHECK_FALSE(breaker.admits(false, at(281)));
    run(breaker, TargetResult::Success, at(290));
    CHECK(breaker.state(at(291)) == TargetBreaker::State::Closed);
    CHECK(breaker.admits(false, at(291)));
}

TEST_CASE("a half-open breaker admits one probe at a time, and after a delay one that is not idempotent")
{
    TargetBreaker breaker;
    run(breaker, TargetResult::HardFailure, at(0));
    const bool probe = breaker.recordSent();
    CHECK(probe);
    CHECK_FALSE(breaker.admits(true, at(300)));
    breaker.recordResult(TargetResult::NoEvidence, probe, at(310));
    CHECK(breaker.admits(true, at(310)));
    CHECK_FALSE(breaker.admits(false, at(1700)));
    CHECK(breaker.admits(false, at(1760)));
}

TEST_CASE("each failed probe doubles the time until the next one, up to the maximum")
{
    TargetBreaker breaker;
    int now = 0;
    int before = 0;
    for (int i = 0; i < 8; ++i) {
        run(breaker, TargetResult::HardFailure, at(now));
        int open = 0;
        while (!breaker.admits(true, at(now + open)))
            ++open;
        CHECK(open >= before);
        CHECK(open <= 1600);
        before = open;
        now += open;
    }
    CHECK(before == 1600);
}

TEST_CASE("single soft failures do not open the breaker, several in a row do")
{
    TargetBreaker breaker;
    for (int i = 0; i < 200; ++i)
        run(breaker, i % 10 == 0 ? TargetResult::SoftFailure : TargetResult::Success, at(i));
    CHECK(breaker.state(at(200)) == TargetBreaker::State::Closed);
    for (int i = 0; i < 3; ++i)
        run(breaker, TargetResult::SoftFailure, at(200 + i));
    CHECK(breaker.state(at(203)) == TargetBreaker::State::Open);
}

TEST_CASE("a breaker never refuses idempotent requests for longer than its maximum open duration")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        TargetBreaker breaker;
        util::Time admitted = start;
        for (int step = 0; step < 4000; ++step) {
            const auto now = at(step * 5);
            if (!breaker.admits(true, now)) {
                CHECK(now - admitted <= std::chrono::milliseconds(1605));
                continue;
            }
            admitted = now;
            if (random() % 3 == 0)
                run(breaker, static_cast<TargetResult>(random() % 4), now);
        }
    }
}
