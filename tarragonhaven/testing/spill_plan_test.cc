// Decisions on spill-over from given loads, and how shares follow them over time, without a network.

#include "tarragonhaven/spillover/load_estimate.h"
#include "tarragonhaven/spillover/service_spill.h"
#include "tarragonhaven/spillover/spill_log.h"
#include "tarragonhaven/target_chooser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace tarragonhaven;

namespace {

const DataCentreName own { "a" };
const DataCentreName near { "b" };
const DataCentreName far { "c" };
constexpr SpillKind smallUrgent { BodySize::Small, 0 };
constexpr SpillKind smallLate { BodySize::Small, 2 };
constexpr SpillKind largeUrgent { BodySize::Large, 0 };

DataCentreLoad loadOf(
    const DataCentreName& dataCentre, int slotsInUse, int waiting = 0, int usableSlots = 100)
{
    return { dataCentre, usableSlots, slotsInUse, waiting, 0.25, {}, 0, std::chrono::milliseconds(200) };
}

// The own data centre with a demand in slots, and two others.
SpillInput inputWith(double demandSlots, DataCentreLoad nearLoad, DataCentreLoad farLoad)
{
    SpillInput input;
    input.own = loadOf(own, std::min(100, static_cast<int>(demandSlots)));
    input.own.arrivalsPerSecond[0] = demandSlots / input.own.meanHoldSeconds;
    input.others = { std::move(nearLoad), std::move(farLoad) };
    input.roundTrips = { { own, 0.0002 }, { near, 0.002 }, { far, 0.008 } };
    input.demand = { { smallUrgent, { 4, 0.002 } }, { smallLate, { 4, 0.002 } }, { largeUrgent, { 2, 1 } } };
    input.secondsPerMegabyte = 0.05;
    return input;
}

double sentBy(const SpillPlan& plan)
{
    double sum = 0;
    for (const auto& [dataCentre, share] : plan.totals)
        sum += share;
    return sum;
}

double shareOf(const SpillPlan& plan, SpillKind kind)
{
    double sum = 0;
    if (plan.shares.contains(kind)) {
        for (const auto& [dataCentre, share] : plan.shares.at(kind))
            sum += share;
    }
    return sum;
}

} // namespace

// Guards against traffic that leaves without need, and against all of it leaving at once.
TEST_CASE("the share that leaves a data centre is what it lacks")
{
    CHECK(planSpill(inputWith(70, loadOf(near, 10), loadOf(far, 10))).totals.empty());
    const auto plan = planSpill(inputWith(120, loadOf(near, 40), loadOf(far, 40)));
    // 95 of 100 slots can be used with a short wait.
    CHECK(sentBy(plan) == Approx(25.0 / 120).margin(0.01));
    CHECK(plan.totals.at(near) == Approx(plan.totals.at(far)).margin(0.02));
    const auto more = planSpill(inputWith(200, loadOf(near, 40), loadOf(far, 40)));
    CHECK(sentBy(more) == Approx(105.0 / 200).margin(0.01));
    // No more leaves than the others can take.
    CHECK(sentBy(planSpill(inputWith(200, loadOf(near, 85), loadOf(far, 85)))) < 0.15);
}

// Guards against an exchange of load between data centres that all lack capacity.
TEST_CASE("a data centre that lacks capacity or is unknown receives nothing")
{
    const auto plan = planSpill(inputWith(130, loadOf(near, 100, 60), loadOf(far, 50)));
    CHECK_FALSE(plan.totals.contains(near));
    CHECK(plan.totals.contains(far));
    CHECK(plan.lacking == std::set { near });
    CHECK(planSpill(inputWith(130, loadOf(near, 100, 60), loadOf(far, 100, 60))).totals.empty());
    CHECK(planSpill(inputWith(130, loadOf(near, 0, 0, 0), loadOf(far, 0, 0, 0))).totals.empty());
    auto stale = loadOf(near, 10);
    stale.age = std::chrono::seconds(4);
    CHECK_FALSE(planSpill(inputWith(130, stale, loadOf(far, 50))).totals.contains(near));
}

// Guards against large bodies that cross between data centres while small requests stay.
TEST_CASE(
    "small urgent requests spill over first, and large bodies only for a wait that is worth their price")
{
    const auto some = planSpill(inputWith(120, loadOf(near, 40), loadOf(far, 40)));
    CHECK(shareOf(some, smallUrgent) > 0.5);
    CHECK(shareOf(some, smallLate) == 0);
    CHECK(shareOf(some, largeUrgent) == 0);
    auto input = inputWith(900, loadOf(near, 0, 0, 400), loadOf(far, 0, 0, 400));
    CHECK(shareOf(planSpill(input), smallUrgent) == Approx(1));
    CHECK(shareOf(planSpill(input), largeUrgent) > 0);
    input.secondsPerMegabyte = 5;
    CHECK(shareOf(planSpill(input), largeUrgent) == 0);
    CHECK(planSpill(input).staying == std::set { largeUrgent });
    // Without any usable slot nothing can stay, whatever the price.
    input = inputWith(300, loadOf(near, 0, 0, 400), loadOf(far, 0, 0, 400));
    input.secondsPerMegabyte = 5;
    input.own.usableSlots = 0;
    CHECK(shareOf(planSpill(input), largeUrgent) > 0.9);
}

// Guards against a saving in wait that the round trip eats up.
TEST_CASE("no request leaves for a data centre whose round trip exceeds the wait that is saved")
{
    auto input = inputWith(105, loadOf(near, 40), loadOf(far, 40));
    input.roundTrips[far] = 2;
    const auto plan = planSpill(input);
    CHECK(plan.totals.contains(near));
    CHECK_FALSE(plan.totals.contains(far));
}

// Guards against shares that rise late, drop at once, or follow noise.
TEST_CASE("shares rise within a second, fall slowly, and end without knowledge")
{
    SpillController controller;
    util::ManualClock clock;
    const auto input = inputWith(200, loadOf(near, 40), loadOf(far, 40));
    const auto idle = inputWith(50, loadOf(near, 40), loadOf(far, 40));
    const auto follow = [&](const SpillInput& wanted, int steps) {
        int changes = 0;
        for (int i = 0; i < steps; ++i) {
            clock.advance(std::chrono::milliseconds(200));
            changes += controller.update(wanted, planSpill(wanted), clock.now()) ? 1 : 0;
        }
        return changes;
    };
    const auto total = [&controller] {
        double sum = 0;
        for (const auto& [dataCentre, share] : controller.totals())
            sum += share;
        return sum;
    };
    follow(input, 5);
    CHECK(total() > 0.4);
    CHECK(follow(input, 300) <= 2);
    // A line shows what determined the shares.
    const auto line
        = logFieldsOf({ { "s" }, { {}, controller.totals(), "lacks capacity", input, planSpill(input) } });
    CHECK(line["after"]["b"] == controller.totals().at(near));
    CHECK(line["lackingSlots"] == Approx(105).margin(0.5));
    CHECK(line["own"]["usableSlots"] == 100);
    CHECK(line["others"][1]["ageMs"] == 200);
    CHECK(line["roundTripMs"]["c"] == Approx(8));
    follow(idle, 4);
    CHECK(total() > 0.2);
    follow(idle, 50);
    CHECK(total() == 0);
    follow(input, 5);
    const auto cleared = controller.clear(clock.now());
    REQUIRE(cleared);
    CHECK(logFieldsOf({ { "s" }, *cleared })["reason"] == "no fresh knowledge");
    CHECK(cleared->after.empty());
    CHECK_FALSE(controller.hasPlan());
}

// Guards against a round trip that a wait for a slot has lengthened, and one that is kept after a change.
TEST_CASE("the least round trip of the last minute counts")
{
    RoundTrips roundTrips;
    util::ManualClock clock;
    CHECK(roundTrips.secondsTo(near) == Approx(0.005));
    for (const int milliseconds : { 300, 4, 90 })
        roundTrips.record(near, std::chrono::milliseconds(milliseconds), clock.now());
    CHECK(roundTrips.secondsTo(near) == Approx(0.004));
    for (int i = 0; i < 3; ++i) {
        clock.advance(std::chrono::seconds(31));
        roundTrips.record(near, std::chrono::milliseconds(8), clock.now());
    }
    CHECK(roundTrips.secondsTo(near) == Approx(0.008));
}

// Guards against a load that is made up from too few targets, or counts targets that take no work.
TEST_CASE("the estimate scales fresh reports to all usable targets of a data centre")
{
    std::vector<Target> targets;
    for (int i = 0; i < 8; ++i) {
        targets.push_back({ { std::to_string(i) }, { "i" }, {}, 10 });
        targets.back().dataCentre = own;
    }
    std::vector<TargetView> views;
    for (const auto& target : targets) {
        views.push_back({ &target });
        views.back().load = 0.5;
        views.back().holdSeconds = 0.25;
    }
    const util::Time now { std::chrono::hours(1) };
    DemandMeter demand;
    demand.recordRequest(smallUrgent, 0, now);
    const auto estimate = [&](const std::set<TargetName>& unreachable, double sentShare) {
        LoadEstimate made;
        return made.estimate(views, { own, unreachable, sentShare }, demand, now);
    };
    CHECK(estimate({}, 0).empty());
    for (int i = 0; i < 4; ++i)
        views[static_cast<std::size_t>(i)].reportAge = std::chrono::milliseconds(100 * i);
    const auto loads = estimate({}, 0);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].usableSlots == 80);
    CHECK(loads[0].slotsInUse == 40);
    CHECK(loads[0].arrivalsPerSecond.at(0) == Approx(160));
    // Requests that run elsewhere are demand of this data centre as well.
    CHECK(estimate({}, 0.5)[0].arrivalsPerSecond.at(0) == Approx(320));
    // An unreachable target says something about those that are not known.
    CHECK(estimate({ { "4" } }, 0)[0].usableSlots == Approx(65).margin(3));
    views[7].leaving = true;
    views[6].blocksNonIdempotent = true;
    views[5].ejectionState = EjectionState::Ejected;
    CHECK(estimate({}, 0)[0].usableSlots == 50);
    for (auto& view : views)
        view.leaving = true;
    // The directory alone says that an evacuated data centre has no usable slots.
    CHECK(estimate({}, 0)[0].usableSlots == 0);
}

// Guards against a placement that leaves a request without a target although there is one.
TEST_CASE("a placement gives way when no target there may be used")
{
    std::vector<Target> targets { { { "1" }, { "i" }, {}, 10 }, { { "2" }, { "i" }, {}, 10 } };
    targets[0].dataCentre = own;
    targets[1].dataCentre = near;
    std::vector<TargetView> views { { &targets[0] }, { &targets[1] } };
    std::mt19937_64 random(1);
    const auto distance = [](const Target& target) { return target.dataCentre == own ? 1 : remoteDistance; };
    ChoiceRequest request;
    request.dataCentre = near;
    CHECK(chooseTarget(views, request, distance, random).target == &targets[1]);
    views[1].leaving = true;
    CHECK(chooseTarget(views, request, distance, random).target == &targets[0]);
    request = {};
    request.excluded = { { "1" } };
    request.avoidedDataCentres = { near };
    views[1].leaving = false;
    CHECK(chooseTarget(views, request, distance, random).target == &targets[1]);
    request.freeSlotOnly = true;
    CHECK_FALSE(chooseTarget(views, request, distance, random).target);
}
