// Which connections a port accepts and closes during a client flood, without a network.

#include "tarragonhaven/memory/connection_table.h"
#include "tarragonhaven/memory/line_limiter.h"
#include "tarragonhaven/memory/node_connection_limits.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace tarragonhaven::testing {

namespace {

    using Verdict = ConnectionTable::Verdict;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const util::Time start { seconds(1000) };
    constexpr std::size_t manyDescriptors = 1000;

    ConnectionTable::Id addAt(ConnectionTable& table, ConnectionStage stage, util::Time time)
    {
        const auto id = table.add("10.0.0.1", time);
        table.setStage(id, stage, time);
        return id;
    }

} // namespace

// Guards against a flood that ordinary callers cannot get past: all connections are in use, and every new one
// is refused.
TEST_CASE("a new connection displaces the one that has made the least progress for longest")
{
    ConnectionTable table({ 4, 4, manyDescriptors });
    const auto running = addAt(table, ConnectionStage::Running, start);
    const auto transferring = addAt(table, ConnectionStage::Transferring, start);
    const auto idle = addAt(table, ConnectionStage::Idle, start + seconds(1));
    const auto fresh = table.add("10.0.0.2", start + seconds(2));
    const auto now = start + seconds(20);
    for (const auto expected : { fresh, idle, transferring }) {
        REQUIRE(table.mayAccept(now));
        const auto admission = table.admit("10.0.0.3", 10, now);
        REQUIRE(admission.closes);
        CHECK(admission.verdict == Verdict::Accepted);
        CHECK(admission.closes->id == expected);
        table.remove(expected);
        addAt(table, ConnectionStage::Running, now);
    }
    CHECK_FALSE(table.mayAccept(now));
    table.remove(running);
    CHECK(table.mayAccept(now));
    CHECK_FALSE(table.admit("10.0.0.3", 10, now).closes);
}

// Guards against floods whose new connections close those that have had no time to send their request, and
// against closing a transfer that has just made progress.
TEST_CASE("a connection that has just made progress is not closed, and accepting pauses meanwhile")
{
    ConnectionTable table({ 2, 2, manyDescriptors });
    table.add("10.0.0.1", start);
    const auto transfer = addAt(table, ConnectionStage::Transferring, start);
    CHECK_FALSE(table.mayAccept(start + milliseconds(200)));
    CHECK(table.mayAccept(start + milliseconds(250)));
    table.remove(1);
    addAt(table, ConnectionStage::Running, start);
    table.recordProgress(transfer, start + seconds(3));
    CHECK_FALSE(table.mayAccept(start + seconds(7)));
    CHECK(table.mayAccept(start + seconds(8)));
}

// Guards against one address that takes the connections of all others.
TEST_CASE("an address with its number of connections only displaces its own")
{
    ConnectionTable table({ 10, 2, manyDescriptors });
    table.add("10.0.0.1", start);
    const auto own = table.add("10.0.0.2", start + seconds(1));
    const auto running = table.add("10.0.0.2", start + seconds(1));
    table.setStage(running, ConnectionStage::Running, start + seconds(1));
    const auto now = start + seconds(5);
    const auto admission = table.admit("10.0.0.2", 10, now);
    REQUIRE(admission.closes);
    CHECK(admission.closes->id == own);
    table.setStage(own, ConnectionStage::Running, now);
    CHECK(table.admit("10.0.0.2", 10, now).verdict == Verdict::RefusedByAddress);
    CHECK(table.admit("10.0.0.1", 10, now).verdict == Verdict::Accepted);
}

// Guards against accepted connections that take the descriptors which the node needs for targets and links.
TEST_CASE("a connection that was given a descriptor of the reserve needs another one to be closed")
{
    ConnectionTable table({ 10, 10, 50 });
    const auto id = table.add("10.0.0.1", start);
    const auto now = start + seconds(1);
    CHECK_FALSE(table.admit("10.0.0.1", 49, now).closes);
    CHECK(table.admit("10.0.0.1", 50, now).closes);
    table.setStage(id, ConnectionStage::Running, now);
    CHECK(table.admit("10.0.0.1", 50, now).verdict == Verdict::RefusedByDescriptors);
}

// Guards against ports whose limits together exceed the descriptors, for any limit of the process.
TEST_CASE("the limits of all ports together leave the reserve of descriptors")
{
    for (const std::size_t descriptors : { 3, 64, 256, 1024, 4100, 20'000, 1'000'000 }) {
        for (const std::size_t callers : { 0, 100, 1'000'000 }) {
            ConnectionSettings settings;
            settings.callers = callers;
            const auto limits = connectionLimits(settings, descriptors);
            CAPTURE(descriptors, callers);
            CHECK(limits.callers.total >= 1);
            CHECK(limits.peers.total >= 1);
            CHECK(limits.operators.total >= 1);
            const auto sum = limits.callers.total + limits.peers.total + limits.operators.total;
            CHECK(sum <= limits.callers.descriptors);
            CHECK(limits.callers.descriptors <= std::max<std::size_t>(3, descriptors));
            if (descriptors > 400)
                CHECK(limits.callers.descriptors == descriptors - 200);
        }
    }
    const auto limits = connectionLimits({}, 4100);
    CHECK(limits.callers.total == 3000);
    CHECK(limits.callers.byAddress == 2850);
}

// Guards against a table that loses connections, exceeds its limits or closes a running request, whatever the
// connections do.
TEST_CASE("random floods stay within the limits and close only what the rule allows")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(seed);
    std::mt19937 random(seed);
    ConnectionTable table({ 50, 40, manyDescriptors });
    struct State {
        ConnectionStage stage;
        util::Time since;
        std::string address;
    };
    std::map<ConnectionTable::Id, State> open;
    auto now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += milliseconds(random() % 20);
        if (random() % 2 == 0 && table.mayAccept(now)) {
            const auto address = "10.0.0." + std::to_string(random() % 3);
            const auto admission = table.admit(address, 10, now);
            if (admission.closes) {
                const auto& closed = open.at(admission.closes->id);
                REQUIRE(closed.stage != ConnectionStage::Running);
                REQUIRE(now - closed.since >= milliseconds(250));
                for (const auto& [id, other] : open)
                    REQUIRE_FALSE((other.stage == closed.stage && other.since < closed.since
                        && other.address == closed.address));
                table.remove(admission.closes->id);
                open.erase(admission.closes->id);
            }
            if (admission.verdict == Verdict::Accepted)
                open[table.add(address, now)] = { ConnectionStage::New, now, address };
        } else if (!open.empty()) {
            const auto chosen = std::next(open.begin(), static_cast<std::ptrdiff_t>(random() % open.size()));
            const auto stage = static_cast<ConnectionStage>(1 + random() % 3);
            if (random() % 8 == 0) {
                table.remove(chosen->first);
                open.erase(chosen);
            } else if (chosen->second.stage != stage) {
                table.setStage(chosen->first, stage, now);
                chosen->second.stage = stage;
                chosen->second.since = now;
            }
        }
        REQUIRE(table.size() == open.size());
        REQUIRE(table.size() <= 50);
    }
}

// Guards against a flood that fills the log.
TEST_CASE("events in any number give one line a second, which counts them")
{
    LineLimiter lines;
    CHECK(lines.record(start) == 1);
    for (int i = 0; i < 500; ++i)
        CHECK_FALSE(lines.record(start + milliseconds(i)));
    CHECK(lines.record(start + seconds(1)) == 501);
}

} // namespace tarragonhaven::testing
