// Tests the fleet-wide limit on an organisation's requests: an oracle checks the times at which they were let
// run.

#include "tarragonhaven/testing/simulated_fleet.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace tarragonhaven::testing {

namespace {

    // Tolerated rounding error, as a fraction of a request.
    constexpr double rounding = 1e-3;

    // Sends requests of "greedy" at ten times its rate and of "modest" at 0.8 times its rate, to random
    // nodes.
    void sendLoad(SimulatedFleet& fleet, util::Duration time, util::Duration step)
    {
        const auto end = fleet.now() + time;
        std::poisson_distribution<int> greedy(500 * util::toSeconds(step));
        std::poisson_distribution<int> modest(32 * util::toSeconds(step));
        while (fleet.now() < end) {
            fleet.step();
            for (int i = greedy(fleet.random()); i > 0; --i)
                fleet.request(fleet.random()() % fleet.size(), "greedy");
            for (int i = modest(fleet.random()); i > 0; --i)
                fleet.request(fleet.random()() % fleet.size(), "modest");
        }
    }

    SimulatedFaults allFaults()
    {
        SimulatedFaults faults;
        faults.restarts = 0.02;
        faults.pauses = 0.03;
        faults.linkCuts = 0.05;
        faults.lossProbability = 0.03;
        faults.duplicateProbability = 0.03;
        faults.lateProbability = 0.1;
        faults.memberChanges = 0.05;
        faults.staleReads = 0.2;
        faults.clockDrift = 0.005;
        return faults;
    }

} // namespace

TEST_CASE("an organisation at ten times its rate gets its rate and burst and no more, without faults")
{
    SimulatedFleetOptions options;
    SimulatedFleet fleet(options, 7);
    fleet.run(std::chrono::seconds(6));
    sendLoad(fleet, std::chrono::seconds(20), options.step);
    CHECK(fleet.oracle("greedy").worstExcess() <= rounding);
    CHECK(fleet.oracle("greedy").count() >= 0.95 * 50 * 20);
    CHECK(fleet.oracle("modest").worstExcess() <= rounding);
    const auto& modest = fleet.counts("modest");
    CHECK(modest.refusedForRate + modest.refusedUnavailable <= 0.001 * modest.admitted);
}

TEST_CASE("no organisation exceeds its rate and burst under random faults")
{
    long admitted = 0;
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        INFO("seed " << seed);
        SimulatedFleetOptions options;
        options.dataCentres = 1 + static_cast<int>(seed % 3);
        options.instancesPerDataCentre = 3 + static_cast<int>(seed % 2);
        options.step = std::chrono::milliseconds(5);
        options.faults = allFaults();
        SimulatedFleet fleet(options, seed);
        sendLoad(fleet, std::chrono::seconds(40), options.step);
        // A clock that runs fast refills a bucket fast, so the bound is that of the fastest clock.
        const double drift = 1 + options.faults.clockDrift;
        const double allowed = static_cast<double>(fleet.oracle("greedy").count()) * (drift - 1) + rounding;
        CHECK(fleet.oracle("greedy").worstExcess() <= allowed);
        CHECK(fleet.oracle("modest").worstExcess() <= allowed);
        admitted += fleet.oracle("greedy").count();
    }
    CHECK(admitted > 5000);
}

TEST_CASE("a data centre whose share has no burst is skipped")
{
    SimulatedFleetOptions options;
    options.dataCentres = 3;
    SimulatedFleet fleet(options, 3);
    auto declaration = fleet.declaration();
    // One token of burst for three data centres, so two shares are empty.
    declaration.organisations = { { { "greedy" }, 50, 20, {} }, { { "modest" }, 1, 1, {} } };
    fleet.publish(declaration);
    fleet.run(std::chrono::seconds(10));
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.request(node, "modest");
        fleet.run(std::chrono::seconds(2));
    }
    CHECK(fleet.counts("modest").admitted == static_cast<long>(fleet.size()));
}

TEST_CASE("a lost owner leaves the shares of the other data centres usable")
{
    SimulatedFleetOptions options;
    options.dataCentres = 3;
    SimulatedFleet fleet(options, 11);
    fleet.run(std::chrono::seconds(6));
    const auto owner = fleet.owners(0, "modest").at(0);
    fleet.pause(owner, std::chrono::seconds(10));
    sendLoad(fleet, std::chrono::seconds(10), options.step);
    const auto& counts = fleet.counts("modest");
    const double refused = static_cast<double>(counts.refusedForRate + counts.refusedUnavailable);
    INFO("refused " << refused << " of " << refused + counts.admitted);
    // Two of the three shares carry 27 of the 32 requests per second.
    CHECK(refused <= 0.2 * (refused + counts.admitted));
    CHECK(fleet.oracle("modest").worstExcess() <= rounding);
}

} // namespace tarragonhaven::testing
