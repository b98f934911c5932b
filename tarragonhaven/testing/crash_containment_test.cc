// Requests that crash targets, in a fleet of nodes and targets over sockets.

#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    constexpr auto pause = std::chrono::milliseconds(400);
    constexpr double downMs = 1000;
    constexpr int repetitions = 12;

    // A fleet of four nodes whose targets have the given faults.
    class FaultyFleet {
    public:
        explicit FaultyFleet(const FaultPlan& plan)
            : m_fleet(FleetOptions { .dataCentres = 2, .instancesPerDataCentre = 2 })
        {
            m_fleet.startAll();
            for (const auto* name : targetNames)
                m_fleet.target(name).setPlan(plan);
        }

        // Sends a request through one node after the other.
        CallerResponse send(const std::string& method, const std::string& target)
        {
            const auto instances = m_fleet.instances();
            HttpCaller caller(m_fleet.callerAddress(instances[m_sent++ % instances.size()]));
            const auto response
                = caller.send({ method, target, { { "X-Api-Key", testKey("harbour") } }, "" });
            return response.value_or(CallerResponse {});
        }

        [[nodiscard]] long crashes()
        {
            long crashes = 0;
            for (const auto* name : targetNames)
                crashes += m_fleet.target(name).stats().crashes;
            return crashes;
        }

    private:
        static constexpr const char* targetNames[] { "t11", "t12", "t21", "t22" };
        LocalFleet m_fleet;
        std::size_t m_sent = 0;
    };

    FaultPlan crashingPlan()
    {
        FaultPlan plan;
        plan.crashOnPath = "crash";
        plan.crashMs = downMs;
        return plan;
    }

} // namespace

// Guards against a caller that takes down one target after the other, and the requests of others with them,
// by sending the same request again and again.
TEST_CASE(
    "a request that crashes its target is refused at all nodes after three crashes, and others are served",
    "[net]")
{
    FaultyFleet fleet(crashingPlan());
    int refused = 0;
    for (int i = 0; i < repetitions; ++i) {
        const auto response = fleet.send("POST", "/notes?crash");
        if (response.field("Tarragonhaven-Refusal") == "crashes-targets") {
            ++refused;
            CHECK(response.status == 503);
            CHECK(response.field("Tarragonhaven-Run") == "not-run");
            CHECK(!response.field("Retry-After").empty());
        }
        std::this_thread::sleep_for(pause);
        CHECK(fleet.send("POST", "/notes").status == 200);
    }
    CHECK(fleet.crashes() == 3);
    CHECK(refused == repetitions - 3);
    // Another request to the same path is not held back.
    CHECK(fleet.send("POST", "/notes?other").status == 200);
}

TEST_CASE("an idempotent request that crashes targets is not tried at one after the other", "[net]")
{
    FaultyFleet fleet(crashingPlan());
    for (int i = 0; i < repetitions; ++i) {
        fleet.send("GET", "/status/crash");
        std::this_thread::sleep_for(pause);
    }
    // The first request may be tried at three targets before the first crash is detected.
    CHECK(fleet.crashes() <= 3);
}

TEST_CASE("a request is not held back because targets close its connections", "[net]")
{
    FaultPlan plan;
    plan.dropAll = true;
    FaultyFleet fleet(plan);
    for (int i = 0; i < repetitions / 2; ++i) {
        CHECK(fleet.send("POST", "/notes").field("Tarragonhaven-Refusal") != "crashes-targets");
        std::this_thread::sleep_for(pause);
    }
}

} // namespace tarragonhaven::testing
