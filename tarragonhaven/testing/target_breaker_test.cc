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

// Guards against a healthy target that is not used for two whole service times after its recovery, because
// the breaker waits for the responses of its probes.
TEST_CASE("probes that outlive recent failures close the breaker before their responses arrive")
{
    TargetBreaker breaker;
    breaker.recordResult(
        TargetResult::HardFailure, breaker.recordSent(), at(0), std::chrono::milliseconds(5));
    CHECK(breaker.survivalTime() == std::chrono::milliseconds(40));
    CHECK(breaker.recordSent());
    CHECK_FALSE(breaker.admits(true, at(300)));
    CHECK(breaker.timeUntilAdmitted(true, at(300)) == std::chrono::milliseconds(40));
    breaker.recordSurvival();
    CHECK(breaker.admits(true, at(340)));
    CHECK_FALSE(breaker.admits(false, at(340)));
    CHECK(breaker.recordSent());
    breaker.recordSurvival();
    CHECK(breaker.state(at(380)) == TargetBreaker::State::Closed);
    breaker.recordResult(TargetResult::Success, false, at(1300), std::chrono::seconds(1));
    CHECK(breaker.state(at(1300)) == TargetBreaker::State::Closed);
}

TEST_CASE("a target that fails after its probes have survived is held back for longer each time")
{
    TargetBreaker breaker;
    int now = 0;
    int before = 0;
    for (int i = 0; i < 4; ++i) {
        const bool probe = breaker.recordSent();
        breaker.recordResult(TargetResult::HardFailure, probe, at(now), std::chrono::milliseconds(5));
        const auto open = breaker.timeUntilAdmitted(true, at(now));
        const int ms = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(open).count());
        CHECK(ms > before);
        before = ms;
        now += ms;
        for (int probes = 0; probes < 2; ++probes) {
            CHECK(breaker.recordSent());
            now += 40;
            breaker.recordSurvival();
        }
        CHECK(breaker.state(at(now)) == TargetBreaker::State::Closed);
    }
}

// Guards against a target that hangs and is taken for healthy, since its probes do not fail at once.
TEST_CASE("a probe at a target that fails late has to wait for as long as failures take")
{
    TargetBreaker breaker;
    for (int i = 0; i < 3; ++i)
        breaker.recordResult(
            TargetResult::SoftFailure, breaker.recordSent(), at(i), std::chrono::milliseconds(900));
    CHECK(breaker.state(at(3)) == TargetBreaker::State::Open);
    CHECK(breaker.survivalTime() == std::chrono::milliseconds(3600));
    breaker.recordResult(TargetResult::HardFailure, false, at(10), std::chrono::milliseconds(2));
    CHECK(breaker.survivalTime() == std::chrono::milliseconds(1800));
}

// The load: a target with a service time of 1 s that fails 85% of its requests after 2 ms, for 9 s of
// every 30.
TEST_CASE("a breaker finds a recovered target within two opening times and admits few failures")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> share(0, 1);
        TargetBreaker breaker;
        struct InFlight {
            int sentAt;
            int endsAt;
            bool probe;
            TargetResult result;
        };
        std::vector<InFlight> requests;
        int failures = 0;
        int heldBackWhileHealthy = 0;
        for (int now = 0; now < 30'000; now += 5) {
            const bool sick = now < 9'000;
            if (breaker.admits(true, at(now)) && requests.size() < 5 && share(random) < 0.1) {
                const bool fails = sick && share(random) < 0.85;
                failures += fails ? 1 : 0;
                requests.push_back({ now, now + (fails ? 2 : 1000), breaker.recordSent(),
                    fails ? TargetResult::HardFailure : TargetResult::Success });
            }
            for (auto& request : requests) {
                const auto age = std::chrono::milliseconds(now - request.sentAt);
                if (request.endsAt <= now)
                    breaker.recordResult(request.result, request.probe, at(now), age);
                else if (request.probe && age >= breaker.survivalTime()) {
                    request.probe = false;
                    breaker.recordSurvival();
                }
            }
            std::erase_if(requests, [now](const InFlight& request) { return request.endsAt <= now; });
            const bool closed = breaker.state(at(now)) == TargetBreaker::State::Closed;
            heldBackWhileHealthy += !sick && !closed ? 5 : 0;
        }
        CHECK(heldBackWhileHealthy <= 2 * 1'600);
        // Each opening costs one failure, and a fiftieth of them a second one.
        CHECK(failures <= 20);
    }
}
