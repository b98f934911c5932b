// Spill-over in whole fleets with uneven demand and targets, compared with entries that use no other data
// centre, with the selection without a plan, and with an oracle that knows every free slot.

#include "tarragonhaven/testing/spill_model.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace tarragonhaven;
using namespace tarragonhaven::testing;

namespace {

struct Comparison {
    SpillResult local;
    SpillResult current;
    SpillResult planned;
    SpillResult oracle;
};

Comparison compare(const SpillShape& shape, unsigned seed)
{
    const auto run = [&](SpillPolicy policy) { return SpillModel(shape, policy, seed).run(); };
    return { run(SpillPolicy::AlwaysLocal), run(SpillPolicy::Current), run(SpillPolicy::Planned),
        run(SpillPolicy::Oracle) };
}

// Checks that callers are served as well as by the selection without a plan, that this takes less of the
// traffic between data centres, and that it comes near to what the oracle serves.
void checkServedAsWell(const Comparison& compared, double margin)
{
    const auto& [local, current, planned, oracle] = compared;
    CAPTURE(local.servedShare(), current.servedShare(), planned.servedShare(), oracle.servedShare(),
        current.inObjectiveShare(), planned.inObjectiveShare(), oracle.inObjectiveShare(),
        current.meanSeconds, planned.meanSeconds, oracle.meanSeconds, current.remoteMegabytes,
        planned.remoteMegabytes, oracle.remoteMegabytes, current.remoteAttempts, planned.remoteAttempts);
    CHECK(planned.servedShare() >= local.servedShare() - 0.01);
    CHECK(planned.servedShare() >= current.servedShare() - 0.015);
    CHECK(planned.servedShare() >= oracle.servedShare() - 0.03);
    CHECK(planned.inObjectiveShare() >= current.inObjectiveShare() - margin);
    CHECK(planned.remoteMegabytes <= current.remoteMegabytes);
}

} // namespace

// Guards against a plan that serves callers worse, or sends more bytes to other data centres, than the
// selection without a plan: demand that differs by a factor of 3, a lost data centre, a burst, a partition in
// one direction, missing and false reports.
TEST_CASE("in uneven fleets of three data centres, planned spill-over serves as much with fewer remote bytes")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    const auto [name, shape] = GENERATE(table<std::string, SpillShape>({
        { "quiet", { .load = { 0.6, 0.5, 0.5 } } },
        { "demand that differs by a factor of 3", { .load = { 1.35, 0.6, 0.45 } } },
        { "loss of four of five targets", { .load = { 0.6, 0.5, 0.5 }, .lostFrom = 6 } },
        { "burst", { .load = { 0.6, 0.5, 0.5 }, .burstFrom = 8, .burst = 2 } },
        { "partition in one direction", { .load = { 1.35, 0.5, 0.45 }, .cut = true } },
        { "false reports", { .load = { 1.2, 0.5, 0.4 }, .falseReporters = 0.2 } },
        { "missing reports", { .load = { 1.35, 0.6, 0.45 }, .lostReports = 0.5 } },
        { "few requests for each entry", { .entriesPerDataCentre = 30, .load = { 1.35, 0.6, 0.45 } } },
    }));
    CAPTURE(seed, name);
    checkServedAsWell(compare(shape, seed), 0.02);
}

TEST_CASE("in random fleets of five data centres, planned spill-over serves as much with fewer remote bytes")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    SpillShape shape;
    shape.dataCentres = 5;
    std::mt19937_64 random(seed);
    shape.load.clear();
    for (int i = 0; i < shape.dataCentres; ++i)
        shape.load.push_back(std::uniform_real_distribution<double>(0.45, 1.35)(random));
    CAPTURE(seed);
    checkServedAsWell(compare(shape, seed), 0.02);
}

// Guards against load that data centres without capacity pass around.
TEST_CASE("data centres that all lack capacity exchange hardly any load")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    SpillShape shape;
    shape.load = { 1.4, 1.4, 1.4 };
    const auto compared = compare(shape, seed);
    CAPTURE(seed, compared.current.remoteAttempts, compared.planned.remoteAttempts);
    checkServedAsWell(compared, 0.03);
    CHECK(compared.planned.remoteAttempts < compared.current.remoteAttempts / 2);
}

// Guards against shares that swing between full and empty data centres, and against large bodies that leave
// before small ones.
TEST_CASE("under steady demand shares do not oscillate for 60 s")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    SpillShape shape;
    shape.load = { 1.35, 0.6, 0.45 };
    shape.durationSeconds = 72;
    auto result = SpillModel(shape, SpillPolicy::Planned, seed).run();
    // Means of 3 s, since few requests begin in a second.
    std::vector<double> means;
    for (std::size_t i = 12; i + 3 <= 72; i += 3)
        means.push_back((result.sentShares[i] + result.sentShares[i + 1] + result.sentShares[i + 2]) / 3);
    const auto [low, high] = std::minmax_element(means.begin(), means.end());
    CAPTURE(seed, means, result.changes);
    CHECK(*low > 0.2);
    CHECK(*high - *low < 0.35);
    CHECK(result.sentShareBySize[BodySize::Large] < result.sentShareBySize[BodySize::Small] / 2);
    // Each entry logs less than one line in a second.
    CHECK(result.changes < 27 * 72);
}

// Guards against a reaction that comes after callers were refused.
TEST_CASE("most of a lost data centre's requests go elsewhere after 2 s, and those of a burst are served")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    SpillShape shape;
    shape.load = { 0.6, 0.5, 0.5 };
    shape.lostFrom = 6;
    const auto lost = SpillModel(shape, SpillPolicy::Planned, seed).run();
    CAPTURE(seed, lost.sentShares);
    CHECK((lost.sentShares[8] + lost.sentShares[9]) / 2 > 0.4);
    CHECK(lost.servedShare() > 0.98);
    shape.lostFrom = -1;
    shape.burstFrom = 8;
    shape.burst = 2;
    CHECK(SpillModel(shape, SpillPolicy::Planned, seed).run().servedShare() > 0.99);
}
