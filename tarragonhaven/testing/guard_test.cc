// Tests what a guard remembers of its targets when the directory changes, and how it learns whether they are
// cold.

#include "tarragonhaven/guard.h"
#include "tarragonhaven/testing/scripted_target.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

Directory directoryWith(std::vector<Target> targets, StorePosition asOf = {})
{
    Directory::TargetsByService services;
    services[{ "status" }] = std::move(targets);
    return Directory(std::move(services), 7000, asOf);
}

Target makeTarget(std::int64_t startTimeMs)
{
    Target target { { "t1" }, { "i1" }, { "127.0.0.1", 1 }, 1 };
    target.startTimeMs = startTimeMs;
    return target;
}

} // namespace

TEST_CASE("a guard knows the limit of a target that the directory has lost and lists again")
{
    boost::asio::io_context io;
    Guard guard(io, { "i1" }, 1);
    guard.apply(directoryWith({ makeTarget(100) }));
    guard.find({ "t1" })->recordNotice({ 2.0, false, false });
    guard.apply(directoryWith({}));
    CHECK(guard.find({ "t1" }) == nullptr);
    guard.apply(directoryWith({ makeTarget(100) }));
    REQUIRE(guard.find({ "t1" }));
    CHECK(guard.find({ "t1" })->requestLimit() == 2.0);
    // A later start has named no limit.
    guard.apply(directoryWith({ makeTarget(200) }));
    REQUIRE(guard.find({ "t1" }));
    CHECK_FALSE(guard.find({ "t1" })->requestLimit());
}

TEST_CASE("a guard sends nothing to a target that announced its stop and that the directory lists again")
{
    boost::asio::io_context io;
    Guard guard(io, { "i1" }, 1);
    guard.apply(directoryWith({ makeTarget(100) }));
    guard.find({ "t1" })->recordNotice({ std::nullopt, false, true });
    guard.apply(directoryWith({}));
    guard.apply(directoryWith({ makeTarget(100) }));
    REQUIRE(guard.find({ "t1" }));
    CHECK(guard.find({ "t1" })->isLeaving());
    guard.apply(directoryWith({ makeTarget(200) }));
    CHECK_FALSE(guard.find({ "t1" })->isLeaving());
}

// Guards against requests to a leaving target through a guard that the store does not answer.
TEST_CASE("a guard that is cut off from the store learns from peers that its target is leaving")
{
    boost::asio::io_context io;
    Guard guard(io, { "i1" }, 1);
    guard.apply(directoryWith({ makeTarget(100) }, { 1, 5 }));
    const auto isLeaving = [&guard] { return guard.find({ "t1" })->isLeaving(); };
    guard.recordPeerState({ "t1", 90, false, { 1, 9 } });
    guard.recordPeerState({ "other", 100, false, { 1, 9 } });
    guard.recordPeerState({ "t1", 100, false, { 1, 5 } });
    CHECK_FALSE(isLeaving());
    guard.recordPeerState({ "t1", 100, false, { 1, 9 } });
    CHECK(isLeaving());
    CHECK(guard.find({ "t1" })->report().draining);
    SECTION("a later report says that it serves again, an earlier one changes nothing")
    {
        guard.recordPeerState({ "t1", 100, true, { 1, 8 } });
        CHECK(isLeaving());
        guard.recordPeerState({ "t1", 100, true, { 1, 10 } });
        CHECK_FALSE(isLeaving());
    }
    SECTION("a report from after a restore of the store is newer, whatever its revision")
    {
        guard.recordPeerState({ "t1", 100, true, { 2, 3 } });
        CHECK_FALSE(isLeaving());
        guard.recordPeerState({ "t1", 100, false, { 1, 20 } });
        CHECK_FALSE(isLeaving());
    }
    SECTION("only a directory that is as new replaces the report")
    {
        guard.apply(directoryWith({ makeTarget(100) }, { 1, 8 }));
        CHECK(isLeaving());
        guard.apply(directoryWith({ makeTarget(100) }, { 1, 9 }));
        CHECK_FALSE(isLeaving());
    }
}

// Guards against a stopping node that ends with requests in progress at a target that has left the directory.
TEST_CASE("a guard is busy until the requests of a target that has left the directory have ended")
{
    boost::asio::io_context io;
    Guard guard(io, { "i1" }, 1);
    guard.apply(directoryWith({ makeTarget(100) }));
    const auto target = guard.find({ "t1" });
    RequestContext context;
    context.deadline = util::BootClock::now() + std::chrono::minutes(1);
    const auto ticket = target->acquireSlot(context, [](const Outcome<void>&) {});
    io.run();
    REQUIRE(guard.busy());
    SECTION("its record is removed") { guard.apply(directoryWith({})); }
    SECTION("its record is removed, and a later start of it is removed too")
    {
        guard.apply(directoryWith({}));
        guard.apply(directoryWith({ makeTarget(200) }));
        guard.apply(directoryWith({}));
    }
    SECTION("a later start takes its place") { guard.apply(directoryWith({ makeTarget(200) })); }
    SECTION("it is listed again")
    {
        guard.apply(directoryWith({}));
        guard.apply(directoryWith({ makeTarget(100) }));
    }
    guard.drain();
    CHECK(guard.busy());
    target->releaseSlot(ticket);
    CHECK_FALSE(guard.busy());
}

// Guards against a guard that paces its target for the whole time of a cold start although the target is
// warm, and against probes that take up the target's slots if it does not answer them.
TEST_CASE(
    "a guard that starts asks its target once whether it is cold, and more often only if it must", "[net]")
{
    const std::string answer
        = GENERATE("HTTP/1.1 200 OK\r\nCold: 0\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n", "");
    const bool answers = answer.find("Cold") != std::string::npos;
    boost::asio::io_context io;
    int probes = 0;
    testing::ScriptedTarget scripted(io, "127.0.0.1", "", [&](const testing::ScriptedRequest&) {
        ++probes;
        return testing::ScriptedAnswer { answer };
    });
    auto target = makeTarget(100);
    target.address = scripted.address();
    GuardOptions options;
    options.headerNames.coldRemaining = "Cold";
    Guard guard(io, { "i1" }, 1, options);
    guard.setColdStart({ { { "status" }, { std::chrono::milliseconds(1800), 14, "/up" } } });
    guard.apply(directoryWith({ target }));
    std::vector<ColdChange> changes;
    const auto begin = util::BootClock::now();
    while (changes.size() < 2 && util::BootClock::now() < begin + std::chrono::seconds(4)) {
        guard.tick();
        for (const auto& change : guard.takeColdChanges())
            changes.push_back(change.change);
        io.run_for(std::chrono::milliseconds(20));
    }
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].cold);
    CHECK(changes[0].source == ColdSource::Start);
    CHECK(changes[1].source == (answers ? ColdSource::Health : ColdSource::Elapsed));
    CHECK((util::BootClock::now() - begin < std::chrono::seconds(1)) == answers);
    CHECK(probes >= 1);
    CHECK(probes <= (answers ? 1 : 3));
}

// Guards against nested requests of repeated runs that raise the retry limit of the service which they call.
TEST_CASE("as many nested requests count as repeats as the share of repeats among the present runs")
{
    boost::asio::io_context io;
    Guard guard(io, { "i1" }, 1);
    guard.apply(directoryWith({ makeTarget(100) }));
    const auto target = guard.find({ "t1" });
    const auto countRepeats = [&guard] {
        int repeats = 0;
        for (int i = 0; i < 40; ++i)
            repeats += guard.takeNestedRepeat() ? 1 : 0;
        return repeats;
    };
    CHECK(countRepeats() == 0);
    target->recordSent(1, true);
    CHECK(countRepeats() == 40);
    for (const std::uint64_t ticket : { 2, 3, 4 })
        target->recordSent(ticket, false);
    CHECK(countRepeats() == 10);
    target->recordResult(1, TargetResult::Success);
    CHECK(countRepeats() == 0);
}
