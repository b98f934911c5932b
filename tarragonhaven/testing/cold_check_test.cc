#include "tarragonhaven/testing/cold_check.h"

#include <catch2/catch.hpp>

namespace tarragonhaven::testing {

namespace {

    using Kind = DisturbanceLog::Kind;

    DisturbanceLog::Time ms(int value)
    {
        return DisturbanceLog::Time {} + std::chrono::hours(1) + std::chrono::milliseconds(value);
    }

    // A target beside node 0, cold from 0 to 6,000 ms, that gets `count` requests every 10 ms from `fromMs`.
    ColdObservations observe(int fromMs, int count, bool recordOnly)
    {
        ColdObservations observations;
        for (int i = 0; i < count; ++i)
            observations.arrivals["t"].push_back({ "r", ms(fromMs + 10 * i) });
        observations.guards["t"] = 0;
        observations.periods = { { "t", ms(0), ms(6000), recordOnly } };
        return observations;
    }

} // namespace

// Guards against a check that finds nothing, or that blames guards for what they could not know.
TEST_CASE("more requests than a cold target tolerates in a second are found")
{
    ColdBounds bounds;
    bounds.maximumRequests = 17;
    struct Row {
        const char* description;
        int fromMs;
        int count;
        bool recordOnly;
        std::size_t violations;
    };
    const DisturbanceLog none;
    const Row rows[] {
        { "as many as allowed", 0, 17, false, 0 },
        { "one more", 0, 18, false, 1 },
        { "one more, the last one when it is warm", 5830, 18, false, 0 },
        { "before a record must be known", 2820, 18, true, 0 },
        { "after that", 3000, 18, true, 1 },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        const auto found = findColdViolations(observe(row.fromMs, row.count, row.recordOnly), none, bounds);
        CHECK(found.size() == row.violations);
    }
    DisturbanceLog heldBack;
    heldBack.begin(Kind::TargetPath, 0, ms(100));
    heldBack.end(Kind::TargetPath, 0, ms(200));
    CHECK(findColdViolations(observe(1100, 18, false), heldBack, bounds).empty());
    CHECK(findColdViolations(observe(1210, 18, false), heldBack, bounds).size() == 1);
    DisturbanceLog cutOff;
    cutOff.begin(Kind::StorePath, 0, ms(100));
    CHECK(findColdViolations(observe(4000, 18, true), cutOff, bounds).empty());
    CHECK(findColdViolations(observe(4000, 18, false), cutOff, bounds).size() == 1);
}

} // namespace tarragonhaven::testing
