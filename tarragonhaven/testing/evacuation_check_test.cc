#include "tarragonhaven/testing/evacuation_check.h"

#include <catch2/catch.hpp>

namespace tarragonhaven::testing {

namespace {

    using Kind = DisturbanceLog::Kind;

    DisturbanceLog::Time ms(int value)
    {
        return DisturbanceLog::Time {} + std::chrono::hours(1) + std::chrono::milliseconds(value);
    }

    // A request that node 1 got at `sentMs`, and that reached the target beside node 0 at `arrivedMs`. The
    // data centre of the target is evacuated from 0 to 20,000 ms.
    EvacuationObservations observe(int sentMs, int arrivedMs)
    {
        EvacuationObservations observations;
        LedgerEntry entry { "r", "harbour", true, ms(sentMs) };
        entry.node = 1;
        observations.requests = { entry };
        observations.arrivals["t"] = { { "r", ms(arrivedMs) } };
        observations.guards["t"] = 0;
        observations.dataCentres = { "east", "west" };
        observations.periods = { { "east", ms(0), ms(20'000) } };
        return observations;
    }

} // namespace

// Guards against a check that finds nothing, or that blames nodes that could not know of the evacuation.
TEST_CASE("a request to an evacuated data centre is found if its guard or its entry must have known")
{
    struct Row {
        const char* description;
        int sentMs;
        int arrivedMs;
        std::size_t violations;
    };
    const DisturbanceLog none;
    const Row rows[] {
        { "before the bound", 4900, 4990, 0 },
        { "after the bound", 4900, 5010, 1 },
        { "after the withdrawal", 19'900, 20'000, 0 },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        CHECK(findEvacuationViolations(observe(row.sentMs, row.arrivedMs), none).size() == row.violations);
    }
    auto elsewhere = observe(9000, 9010);
    elsewhere.periods[0].dataCentre = "west";
    CHECK(findEvacuationViolations(elsewhere, none).empty());

    DisturbanceLog guardCutOff;
    guardCutOff.begin(Kind::StorePath, 0, ms(100));
    CHECK(findEvacuationViolations(observe(4900, 9000), guardCutOff).empty());
    CHECK(findEvacuationViolations(observe(5100, 9000), guardCutOff).size() == 1);
    guardCutOff.begin(Kind::Process, 1, ms(200));
    guardCutOff.end(Kind::Process, 1, ms(300));
    guardCutOff.recordStart(1, ms(6000));
    CHECK(findEvacuationViolations(observe(8900, 9000), guardCutOff).empty());
    CHECK(findEvacuationViolations(observe(9000, 9100), guardCutOff).size() == 1);

    DisturbanceLog heldBack;
    heldBack.begin(Kind::TargetPath, 0, ms(4000));
    heldBack.end(Kind::TargetPath, 0, ms(6000));
    CHECK(findEvacuationViolations(observe(4000, 6000), heldBack).empty());
    CHECK(findEvacuationViolations(observe(4000, 11'100), heldBack).size() == 1);
}

// Guards against a check that excuses a node after any fault of the store: what it has read must be kept.
TEST_CASE("a node keeps what it has read of the store while the store is away")
{
    DisturbanceLog disturbances;
    disturbances.begin(Kind::Store, DisturbanceLog::allNodes, ms(6000));
    const auto delay = std::chrono::milliseconds(5000);
    CHECK(disturbances.mustKnow(0, ms(0), delay, ms(5000)));
    CHECK(disturbances.mustKnow(0, ms(0), delay, ms(9000)));
    CHECK_FALSE(disturbances.mustKnow(0, ms(2000), delay, ms(9000)));
    disturbances.end(Kind::Store, DisturbanceLog::allNodes, ms(9000));
    CHECK_FALSE(disturbances.mustKnow(0, ms(2000), delay, ms(13'900)));
    CHECK(disturbances.mustKnow(0, ms(2000), delay, ms(14'000)));
    disturbances.recordStart(0, ms(15'000));
    CHECK_FALSE(disturbances.mustKnow(0, ms(0), delay, ms(16'000)));
}

} // namespace tarragonhaven::testing
