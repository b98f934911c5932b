// Ownership must never allow two owners of a share in one data centre at the same moment. The tests check
// this under random faults and for an owner that does not get the update that removes it.

#include "tarragonhaven/testing/simulated_fleet.h"

#include <catch2/catch.hpp>

namespace tarragonhaven::testing {

namespace {

    SimulatedFleetOptions optionsWithFaults(int instances)
    {
        SimulatedFleetOptions options;
        options.dataCentres = 1;
        options.instancesPerDataCentre = instances;
        options.step = std::chrono::milliseconds(10);
        options.faults.restarts = 0.05;
        options.faults.pauses = 0.05;
        options.faults.linkCuts = 0.1;
        options.faults.lossProbability = 0.05;
        options.faults.duplicateProbability = 0.05;
        options.faults.lateProbability = 0.1;
        options.faults.memberChanges = 0.2;
        options.faults.staleReads = 0.3;
        options.faults.clockDrift = 0.02;
        options.faults.updateFailures = 0.97;
        return options;
    }

    // Checks 16 organisations at each step. Returns how many of these checks found more than one owner, and
    // how many found exactly one.
    std::pair<long, long> countOwners(
        const SimulatedFleetOptions& options, std::uint64_t seed, util::Duration time)
    {
        SimulatedFleet fleet(options, seed);
        long twoOwners = 0;
        long oneOwner = 0;
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.step();
            for (int i = 0; i < 16; ++i) {
                const auto owners = fleet.owners(0, "organisation-" + std::to_string(i)).size();
                twoOwners += owners > 1 ? 1 : 0;
                oneOwner += owners == 1 ? 1 : 0;
            }
        }
        return { twoOwners, oneOwner };
    }

} // namespace

TEST_CASE("without faults each data centre has one owner for each organisation")
{
    SimulatedFleetOptions options;
    options.dataCentres = 2;
    SimulatedFleet fleet(options, 1);
    fleet.run(std::chrono::seconds(6));
    for (int dataCentre = 0; dataCentre < 2; ++dataCentre) {
        CHECK(fleet.owners(dataCentre, "greedy").size() == 1);
        CHECK(fleet.owners(dataCentre, "modest").size() == 1);
    }
}

TEST_CASE("no two nodes own a share at the same moment under random faults")
{
    long owned = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        const auto [twoOwners, oneOwner]
            = countOwners(optionsWithFaults(3 + static_cast<int>(seed % 4)), seed, std::chrono::seconds(40));
        REQUIRE(twoOwners == 0);
        owned += oneOwner;
    }
    // If the faults left the shares without owners, the check above would prove nothing.
    CHECK(owned > 100000);
}

namespace {

    // Removes the owner of an organisation from its group while that node gets no updates and its clock runs
    // at `clockRate`. Returns the number of steps with more than one owner, and whether another node is the
    // only owner at the end.
    std::pair<long, bool> removeOwnerWithoutUpdates(double clockRate)
    {
        SimulatedFleetOptions options;
        options.dataCentres = 1;
        options.instancesPerDataCentre = 5;
        options.step = std::chrono::milliseconds(10);
        SimulatedFleet fleet(options, 5);
        fleet.run(std::chrono::seconds(6));
        const auto removedOwner = fleet.owners(0, "greedy").at(0);
        fleet.setReceivesUpdates(removedOwner, false);
        fleet.setClockRate(removedOwner, clockRate);
        auto next = fleet.declaration();
        auto& group = next.index.groups.at(0);
        group.formerMembers = { group.members };
        group.members.erase(group.members.begin() + static_cast<std::ptrdiff_t>(removedOwner));
        fleet.publish(next);
        long twoOwners = 0;
        for (int i = 0; i < 1500; ++i) {
            fleet.step();
            twoOwners += fleet.owners(0, "greedy").size() > 1 ? 1 : 0;
        }
        const auto owners = fleet.owners(0, "greedy");
        return { twoOwners, owners.size() == 1 && owners.at(0) != removedOwner };
    }

} // namespace

TEST_CASE("an owner that gets no update on its removal stops acting before its successor starts")
{
    const auto [twoOwners, succeeded] = removeOwnerWithoutUpdates(1);
    CHECK(twoOwners == 0);
    CHECK(succeeded);
}

TEST_CASE("the test detects two owners if a clock runs slower than the hold time allows")
{
    // The hold time exceeds the window by a tenth. A clock at a fifth of the normal rate breaks this margin,
    // so two owners occur, and the check of the test above must detect them.
    CHECK(removeOwnerWithoutUpdates(0.2).first > 0);
}

TEST_CASE("a paused owner's share is taken over within 7 s and returned after the pause")
{
    SimulatedFleetOptions options;
    options.dataCentres = 1;
    options.instancesPerDataCentre = 5;
    SimulatedFleet fleet(options, 9);
    fleet.run(std::chrono::seconds(6));
    const auto first = fleet.owners(0, "greedy").at(0);
    fleet.pause(first, std::chrono::seconds(20));
    fleet.run(std::chrono::seconds(7));
    const auto second = fleet.owners(0, "greedy");
    REQUIRE(second.size() == 1);
    CHECK(second.at(0) != first);
    fleet.run(std::chrono::seconds(20));
    CHECK(fleet.owners(0, "greedy") == std::vector<std::size_t> { first });
}

} // namespace tarragonhaven::testing
