#include "tarragonhaven/directory_tracker.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace tarragonhaven;

namespace {

const util::Time start { std::chrono::hours(1) };

util::Time at(int milliseconds) { return start + std::chrono::milliseconds(milliseconds); }

TargetRecord record(const std::string& name, Revision revision, std::int64_t startTime = 100,
    std::uint64_t sequence = 1, const std::string& address = "10.0.0.1")
{
    TargetRecord result;
    result.service = { "status" };
    result.target.name = { name };
    result.target.address = { address, 8000 };
    result.target.instance = { address };
    result.target.slots = 5;
    result.target.startTimeMs = startTime;
    result.sequence = sequence;
    result.revision = revision;
    return result;
}

TargetRecord leaving(TargetRecord changed)
{
    changed.target.leaving = true;
    return changed;
}

const Target* find(const DirectoryPointer& directory, const std::string& name)
{
    for (const auto& target : directory->targetsOf({ "status" })) {
        if (target.name.text == name)
            return &target;
    }
    return nullptr;
}

} // namespace

TEST_CASE("DirectoryTracker uses the latest start and state of a target in any order of records")
{
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing({ record("a", 1, 100, 5) }, 1, at(0));
    CHECK(find(tracker.takeIfChanged(), "a") != nullptr);
    tracker.onRecord(leaving(record("a", 2, 100, 6)), at(1));
    CHECK(find(tracker.takeIfChanged(), "a")->leaving);
    // A late record of the previous state is ignored.
    tracker.onRecord(record("a", 3, 100, 5), at(2));
    CHECK(tracker.takeIfChanged() == nullptr);
    // A new start under the same name is used; then a late record of the previous start is ignored.
    tracker.onRecord(record("a", 4, 200, 1), at(3));
    CHECK_FALSE(find(tracker.takeIfChanged(), "a")->leaving);
    tracker.onRecord(leaving(record("a", 5, 100, 9)), at(4));
    CHECK(tracker.takeIfChanged() == nullptr);
}

TEST_CASE("DirectoryTracker marks the earlier of two targets at one address as leaving")
{
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing({ record("old", 1, 100), record("new", 2, 200) }, 2, at(0));
    const auto directory = tracker.takeIfChanged();
    CHECK(find(directory, "old")->leaving);
    CHECK_FALSE(find(directory, "new")->leaving);
    CHECK(directory->instance({ "10.0.0.1" })->peerAddress == Endpoint { "10.0.0.1", 7000 });
}

// Guards against an entry of another writer that takes a target of a declared service out of use.
TEST_CASE("DirectoryTracker does not let a target of an unknown service displace one of a declared service")
{
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.setDeclaredServices({ { "status" } });
    auto foreign = record("foreign", 2, 200);
    foreign.service = { "unknown" };
    tracker.onListing({ record("a", 1, 100), foreign }, 2, at(0));
    CHECK_FALSE(find(tracker.takeIfChanged(), "a")->leaving);
    // When the service is declared, the later start is used.
    tracker.setDeclaredServices({ { "status" }, { "unknown" } });
    CHECK(find(tracker.takeIfChanged(), "a")->leaving);
    tracker.setDeclaredServices({ { "unknown" }, { "status" } });
    CHECK(tracker.takeIfChanged() == nullptr);
}

TEST_CASE("DirectoryTracker removes a target at once if its record is removed while the source answers")
{
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing({ record("a", 1) }, 1, at(0));
    tracker.takeIfChanged();
    tracker.onRemoved({ "a" }, 2, at(10));
    CHECK(find(tracker.takeIfChanged(), "a") == nullptr);
    // A removal at an older revision does not affect a newer record.
    tracker.onRecord(record("a", 5), at(20));
    tracker.takeIfChanged();
    tracker.onRemoved({ "a" }, 4, at(30));
    CHECK(tracker.takeIfChanged() == nullptr);
}

TEST_CASE("DirectoryTracker keeps a missing target for a grace period after an outage of the source")
{
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing({ record("a", 1), record("b", 2, 100, 1, "10.0.0.2") }, 2, at(0));
    tracker.takeIfChanged();
    tracker.onSourceLost(at(1000));
    tracker.onListing({}, 9, at(1500));
    CHECK(tracker.hasPendingChanges());
    tracker.advance(at(1600));
    CHECK(tracker.takeIfChanged() == nullptr);
    tracker.onRecord(record("a", 10), at(2000));
    tracker.advance(at(3300));
    const auto directory = tracker.takeIfChanged();
    CHECK(find(directory, "a") != nullptr);
    CHECK(find(directory, "b") == nullptr);
    CHECK_FALSE(tracker.hasPendingChanges());
}

TEST_CASE("DirectoryTracker applies records and removals at lower revisions after a restore of the source")
{
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing(
        { record("a", 20), record("b", 21, 100, 3, "10.0.0.2"), record("c", 22, 100, 1, "10.0.0.3") }, 22,
        at(0));
    tracker.takeIfChanged();
    tracker.beginEpoch(at(1000));
    // The copy has an earlier state of "b" and lacks "c", which registers again.
    tracker.onListing({ record("a", 5), record("b", 4, 100, 2, "10.0.0.2") }, 9, at(1000));
    auto directory = tracker.takeIfChanged();
    CHECK(directory == nullptr);
    tracker.onRecord(leaving(record("b", 10, 100, 4, "10.0.0.2")), at(1100));
    tracker.onRecord(record("c", 11, 100, 1, "10.0.0.3"), at(1200));
    directory = tracker.takeIfChanged();
    REQUIRE(directory);
    CHECK(find(directory, "b")->leaving);
    CHECK(find(directory, "c"));
    tracker.onRemoved({ "a" }, 12, at(4000));
    directory = tracker.takeIfChanged();
    REQUIRE(directory);
    CHECK(find(directory, "a") == nullptr);
    CHECK(find(directory, "c"));
    tracker.advance(at(5000));
    CHECK(tracker.takeIfChanged() == nullptr);
}

TEST_CASE("DirectoryTracker does not use a removed target that a copy of the source lists, until it lives")
{
    const auto removed = record("a", 3, 100, 2);
    const auto later = record("a", 3, 200, 1);
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing({ removed }, 5, at(0));
    tracker.onRemoved({ "a" }, 6, at(1000));
    tracker.takeIfChanged();
    tracker.beginEpoch(at(2000));
    SECTION("the record of the copy is removed again")
    {
        tracker.onListing({ removed }, 5, at(2000));
        CHECK(tracker.takeIfChanged() == nullptr);
        CHECK(tracker.hasPendingChanges());
        tracker.onRemoved({ "a" }, 6, at(5000));
        tracker.advance(at(9000));
        CHECK_FALSE(tracker.hasPendingChanges());
        const auto directory = tracker.takeIfChanged();
        CHECK((!directory || !find(directory, "a")));
    }
    SECTION("the target writes its record again")
    {
        tracker.onListing({ removed }, 5, at(2000));
        tracker.onRecord(record("a", 7, 100, 3), at(2500));
        CHECK(find(tracker.takeIfChanged(), "a"));
    }
    SECTION("the record is still there after the delay")
    {
        tracker.onListing({ removed }, 5, at(2000));
        tracker.advance(at(7000));
        CHECK(find(tracker.takeIfChanged(), "a"));
    }
    SECTION("a later start of the target is used at once")
    {
        tracker.onListing({ later }, 5, at(2000));
        CHECK(find(tracker.takeIfChanged(), "a"));
    }
}

// Guards against targets that all count as cold again whenever a store is restored, since their records state
// what was true when they were written.
TEST_CASE("DirectoryTracker counts the time for which a target is cold from the first reading of its record")
{
    auto cold = record("a", 1);
    cold.slowStartRemaining = std::chrono::seconds(3);
    DirectoryTracker tracker({ .peerPort = 7000 });
    tracker.onListing({ cold }, 1, at(0));
    CHECK(find(tracker.takeIfChanged(), "a")->slowStartUntil == at(3000));
    tracker.beginEpoch(at(1000));
    tracker.onListing({ cold }, 1, at(1000));
    CHECK(tracker.takeIfChanged() == nullptr);
    // The target becomes cold again, then warm.
    cold.sequence = 2;
    cold.revision = 2;
    tracker.onRecord(cold, at(9000));
    CHECK(find(tracker.takeIfChanged(), "a")->slowStartUntil == at(12'000));
    tracker.onRecord(record("a", 3, 100, 3), at(10'000));
    CHECK(find(tracker.takeIfChanged(), "a")->slowStartUntil == util::Time {});
}

TEST_CASE("DirectoryTracker yields the newest record of each target for shuffled records")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::vector<TargetRecord> writes;
        std::map<std::string, TargetRecord> newest;
        std::map<std::string, std::int64_t> startTimes;
        std::map<std::string, std::uint64_t> sequences;
        for (Revision revision = 1; revision <= 60; ++revision) {
            const auto name = std::string(1, static_cast<char>('a' + random() % 5));
            if (random() % 4 == 0) {
                startTimes[name] += 1;
                sequences[name] = 0;
            }
            auto write = record(name, revision, startTimes[name], ++sequences[name], "10.0.1." + name);
            write.target.leaving = random() % 5 == 0;
            newest[name] = write;
            writes.push_back(write);
        }
        DirectoryTracker tracker({ .peerPort = 7000 });
        tracker.onListing({}, 0, at(0));
        std::shuffle(writes.begin(), writes.end(), random);
        for (const auto& write : writes)
            tracker.onRecord(write, at(1));
        const auto directory = tracker.takeIfChanged();
        for (const auto& [name, expected] : newest) {
            const auto* target = find(directory, name);
            REQUIRE(target);
            CHECK(target->startTimeMs == expected.target.startTimeMs);
            CHECK(target->leaving == expected.target.leaving);
        }
    }
}
