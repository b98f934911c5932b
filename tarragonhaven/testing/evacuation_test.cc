// Tests which data centres are evacuated, and what guards and entry nodes do then, without sockets.

#include "tarragonhaven/evacuation/evacuation_announcer.h"
#include "tarragonhaven/evacuation/evacuation_reports.h"
#include "tarragonhaven/evacuation/evacuation_tracker.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/service_health.h"

#include <catch2/catch.hpp>
#include <random>

using namespace tarragonhaven;

namespace {

const util::Time start { std::chrono::hours(1) };
const DataCentreName east { "east" };
const DataCentreName west { "west" };

util::Time at(int milliseconds) { return start + std::chrono::milliseconds(milliseconds); }

using Names = std::set<DataCentreName>;

Target makeTarget(const std::string& name, const DataCentreName& dataCentre)
{
    Target target { { name }, { "i-" + name }, { "10.0.0." + name, 8000 }, 1 };
    target.dataCentre = dataCentre;
    return target;
}

Directory directoryWith(std::vector<Target> targets, StorePosition asOf, Names evacuated = {})
{
    return Directory({ { { "status" }, std::move(targets) } }, 7000, asOf, std::move(evacuated));
}

} // namespace

TEST_CASE("an evacuation is in force from its writing until its deletion, in any order of the changes")
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::vector<EvacuationChange> changes;
        Names expected { east, west };
        for (Revision revision = 1; revision <= 12; ++revision) {
            const auto& dataCentre = random() % 2 == 0 ? east : west;
            changes.push_back({ dataCentre, random() % 3 != 0, revision });
            changes.back().evacuated ? void(expected.insert(dataCentre)) : void(expected.erase(dataCentre));
        }
        EvacuationTracker tracker;
        tracker.onListing({ { east, true, 0 }, { west, true, 0 } }, 0, at(0));
        std::shuffle(changes.begin() + 6, changes.end(), random);
        for (int round = 0; round < 2; ++round) {
            for (const auto& change : changes)
                tracker.onChange(change, at(1));
        }
        CHECK(tracker.inForce() == expected);
    }
}

// Guards against a data centre that gets requests again because the store was restored from a copy that was
// made before the evacuation, and against one that is evacuated again by an older copy.
TEST_CASE("a restore of the store changes evacuations only if they are not corrected in time")
{
    EvacuationTracker tracker;
    tracker.onListing({ { east, true, 5 } }, 6, at(0));
    tracker.onChange({ west, true, 7 }, at(100));
    tracker.onChange({ east, false, 8 }, at(200));
    REQUIRE(tracker.inForce() == Names { west });
    tracker.beginEpoch(at(1000));
    // The copy has the evacuation that was withdrawn, and lacks the one in force.
    tracker.onListing({ { east, true, 5 } }, 6, at(1100));
    CHECK(tracker.inForce() == Names { west });
    CHECK(tracker.hasPendingChanges());
    SECTION("both are corrected")
    {
        tracker.onChange({ west, true, 7 }, at(2000));
        tracker.onChange({ east, false, 8 }, at(2100));
        tracker.advance(at(9000));
        CHECK(tracker.inForce() == Names { west });
    }
    SECTION("nothing is corrected")
    {
        tracker.advance(at(2900));
        CHECK(tracker.inForce() == Names { west });
        tracker.advance(at(3100));
        CHECK(tracker.inForce() == Names { east, west });
        tracker.advance(at(6100));
        CHECK(tracker.inForce() == Names { east });
    }
    CHECK_FALSE(tracker.hasPendingChanges());
    // Without a restore, an evacuation that a listing lacks has been withdrawn.
    tracker.onListing({}, 20, at(20'000));
    CHECK(tracker.inForce().empty());
}

// Guards against requests that reach an evacuated target from its queue, from a slot whose request has not
// been sent, or from an entry with an outdated directory.
TEST_CASE("a guard refuses what waits and comes while its data centre is evacuated")
{
    boost::asio::io_context io;
    Guard guard(io, { "i-1" }, 1);
    const std::vector<Target> targets { makeTarget("1", east) };
    guard.apply(directoryWith(targets, { 1, 5 }));
    const auto target = guard.find({ "1" });
    RequestContext context;
    context.deadline = util::BootClock::now() + std::chrono::seconds(5);
    std::vector<Outcome<void>> outcomes;
    const auto send = [&] {
        target->acquireSlot(context, [&outcomes](Outcome<void> outcome) { outcomes.push_back(outcome); });
        io.restart();
        io.poll();
        return outcomes.size();
    };
    REQUIRE(send() == 1);
    REQUIRE(send() == 1);
    CHECK_FALSE(target->refusalBeforeSend(1));
    const bool byPeer = GENERATE(true, false);
    if (byPeer) {
        CHECK_FALSE(guard.recordPeerEvacuation({ "west", true, { 1, 9 } }));
        CHECK_FALSE(guard.recordPeerEvacuation({ "east", true, { 1, 5 } }));
        CHECK(guard.recordPeerEvacuation({ "east", true, { 1, 9 } }));
        CHECK_FALSE(guard.recordPeerEvacuation({ "east", false, { 1, 8 } }));
        guard.apply(directoryWith(targets, { 1, 7 }));
    } else {
        guard.apply(directoryWith(targets, { 1, 9 }, { east }));
        CHECK_FALSE(guard.recordPeerEvacuation({ "east", false, { 1, 9 } }));
    }
    REQUIRE(send() == 3);
    for (std::size_t i = 1; i < outcomes.size(); ++i) {
        REQUIRE_FALSE(outcomes[i]);
        CHECK(outcomes[i].error().reason == RefusalReason::TargetEvacuated);
        CHECK(outcomes[i].error().run == RunState::NotRun);
    }
    CHECK(target->busy());
    CHECK(target->refusalBeforeSend(1));
    CHECK(target->report().evacuatedAsOf == StorePosition { 1, 9 });
    CHECK(target->report().draining);
    // The withdrawal arrives from the store, or from a peer.
    if (byPeer)
        CHECK(guard.recordPeerEvacuation({ "east", false, { 1, 12 } }));
    else
        guard.apply(directoryWith(targets, { 1, 12 }));
    CHECK_FALSE(target->report().evacuatedAsOf);
    CHECK(send() == 3);
}

TEST_CASE("an entry believes reports of an evacuation that are newer than its directory, for two seconds")
{
    EvacuationReports reports;
    CHECK(reports.record(east, { 1, 9 }, at(0)));
    CHECK_FALSE(reports.record(east, { 1, 8 }, at(1000)));
    CHECK(reports.isEvacuated(east, { 1, 8 }, at(2900)));
    CHECK_FALSE(reports.isEvacuated(west, { 1, 8 }, at(1000)));
    CHECK_FALSE(reports.isEvacuated(east, { 1, 9 }, at(1000)));
    CHECK_FALSE(reports.isEvacuated(east, { 1, 8 }, at(3100)));
    CHECK(reports.takeExpired(at(2900)).empty());
    CHECK(reports.takeExpired(at(3100)) == std::vector { east });
    CHECK(reports.empty());
}

// Guards against a guard that nobody informs, because the nodes that would are cut off.
TEST_CASE("every guard of an evacuated data centre is informed although 40% of the nodes are cut off")
{
    constexpr int nodes = 90;
    std::vector<Target> targets;
    for (int i = 0; i < nodes; ++i)
        targets.push_back(makeTarget(std::to_string(i), i < 30 ? east : west));
    const auto before = std::make_shared<const Directory>(directoryWith(targets, { 1, 5 }));
    const auto during = std::make_shared<const Directory>(directoryWith(targets, { 1, 9 }, { east }));
    const auto after = std::make_shared<const Directory>(directoryWith(targets, { 1, 12 }));
    std::map<Endpoint, int> begun;
    std::map<Endpoint, int> ended;
    std::size_t messages = 0;
    for (int i = 0; i < nodes; ++i) {
        EvacuationAnnouncer announcer({ "i-" + std::to_string(i) });
        announcer.apply(before, at(0));
        CHECK(announcer.take(at(100)).empty());
        announcer.apply(during, at(1000));
        for (int now = 1000; now < 60'000; now += 20) {
            if (now == 9000)
                announcer.apply(after, at(now));
            for (const auto& [guard, message] : announcer.take(at(now))) {
                CHECK(message == EvacuationMessage { "east", now < 9000, { 1, now < 9000 ? 9U : 12U } });
                ++messages;
                if (i % 5 >= 2 && now < 4000)
                    ++begun[guard];
                if (i % 5 >= 2 && now >= 9000)
                    ++ended[guard];
            }
        }
    }
    CHECK(begun.size() == 30);
    CHECK(ended.size() == 30);
    // Two messages per guard and second, and eight at each change.
    CHECK(messages < 30 * (2 * 8 + 2 * 19));
}

// Guards against ejection that takes the remaining data centres below their floor because the evacuated
// targets are counted as capacity.
TEST_CASE("evacuated targets do not count towards the floor, and the floor holds for the others")
{
    Service service { { "s" }, 70, EjectionSensitivity::Fast, {} };
    for (int i = 0; i < 30; ++i)
        service.targets.push_back(makeTarget(std::to_string(i), i < 10 ? east : west));
    ServiceHealth health(service);
    std::uint64_t sequence = 0;
    // Eight targets of each data centre fail everything.
    const auto respond = [&](util::Time now) {
        ++sequence;
        for (int i = 0; i < 30; ++i) {
            TargetReport report;
            report.incarnation = 1;
            report.sequence = sequence;
            (i % 10 < 4 ? report.failures : report.successes) = sequence;
            report.logLatencySum = i % 10 < 4 ? 0 : 17.0 * static_cast<double>(sequence);
            health.recordReport({ std::to_string(i) }, report, now);
        }
        health.evaluate(now);
    };
    for (int i = 0; i < 20; ++i)
        respond(at(i * 20));
    CHECK(health.floorSlots() == 21);
    CHECK(health.servingSlots() == 21);
    for (auto& target : service.targets)
        target.evacuated = target.dataCentre == east;
    health.update(service);
    for (int i = 20; i < 40; ++i) {
        respond(at(i * 20));
        CHECK(health.servingSlots() >= health.floorSlots());
    }
    CHECK(health.floorSlots() == 14);
    for (const auto& view : health.views(at(900)))
        CHECK(view.leaving == (view.target->dataCentre == east));
    for (auto& target : service.targets)
        target.evacuated = true;
    health.update(service);
    health.evaluate(at(1000));
    CHECK(health.floorSlots() == 0);
}
