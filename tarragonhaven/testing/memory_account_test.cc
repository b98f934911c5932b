// What a node does when the memory that it holds for its callers nears the bound, without a network.

#include "tarragonhaven/body_budget.h"
#include "tarragonhaven/memory/connection_memory.h"
#include "tarragonhaven/memory/memory_bound.h"
#include "tarragonhaven/memory/memory_policy.h"
#include "tarragonhaven/pipelining/ahead_budget.h"

#include <catch2/catch.hpp>
#include <random>

namespace tarragonhaven::testing {

namespace {

    using std::chrono::seconds;

    constexpr std::size_t kilobyte = 1024;
    constexpr std::size_t megabyte = 1024 * kilobyte;

} // namespace

// Guards against an account that drifts from what is held, so that its bound holds back callers for ever or
// not at all.
TEST_CASE("the account is the sum of its connections, by organisation, whatever they hold and release")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto account = std::make_shared<MemoryAccount>(megabyte);
    struct Held {
        std::unique_ptr<ConnectionMemory> memory;
        OrganisationName organisation;
        std::size_t bytes = 0;
    };
    std::vector<Held> connections;
    const std::vector<OrganisationName> names { { "" }, { "a" }, { "b" }, { "c" } };
    for (int step = 0; step < 5000; ++step) {
        if (connections.empty() || random() % 10 == 0) {
            connections.push_back({ std::make_unique<ConnectionMemory>(account), {}, 0 });
            continue;
        }
        const auto index = random() % connections.size();
        auto& held = connections[index];
        const std::size_t bytes = random() % 1000;
        switch (random() % 4) {
        case 0:
            held.memory->add(bytes);
            held.bytes += bytes;
            break;
        case 1:
            held.memory->remove(bytes);
            held.bytes -= std::min(bytes, held.bytes);
            break;
        case 2:
            held.organisation = names[random() % names.size()];
            held.memory->assign(held.organisation);
            break;
        default:
            if (random() % 4 == 0)
                connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        }
        std::map<OrganisationName, std::size_t> sums;
        std::size_t total = 0;
        for (const auto& connection : connections) {
            sums[connection.organisation] += connection.bytes;
            total += connection.bytes;
        }
        REQUIRE(account->heldBytes() == total);
        for (const auto& name : names)
            REQUIRE(account->heldBytes(name) == sums[name]);
    }
    connections.clear();
    CHECK(account->heldBytes() == 0);
}

// Guards against bodies and requests ahead that go on taking memory when others need it.
TEST_CASE("nothing more is kept or started ahead while the account is near its bound")
{
    const auto account = std::make_shared<MemoryAccount>(megabyte);
    const auto memory = std::make_shared<ConnectionMemory>(account);
    BodyBudget process(10 * megabyte);
    BodyBudget budget(10 * megabyte, &process, memory);
    AheadBudget ahead({}, account.get());
    budget.add(400 * kilobyte);
    CHECK(account->pressure() == MemoryPressure::None);
    CHECK(budget.allows(1));
    CHECK(ahead.tryAcquire({ "a" }, 1));
    ConnectionMemory other(account);
    other.add(200 * kilobyte);
    CHECK(account->pressure() == MemoryPressure::Backpressure);
    CHECK_FALSE(budget.allows(1));
    CHECK_FALSE(ahead.tryAcquire({ "a" }, 1));
    budget.remove(400 * kilobyte);
    CHECK(process.heldBytes() == 0);
    CHECK(budget.allows(1));
    CHECK(account->peakBytes() == 600 * kilobyte);
}

// Guards against closing before refusing, and refusing before backpressure, as more and more is held.
TEST_CASE("the levels follow each other, and requests with a body are refused before those without")
{
    MemoryAccount account(megabyte);
    auto& share = account.acquire({ "a" });
    auto level = account.pressure();
    CHECK(level == MemoryPressure::None);
    for (std::size_t held = 0; held < megabyte; held += kilobyte) {
        account.add(share, kilobyte);
        CHECK(account.pressure() >= level);
        CHECK(static_cast<int>(account.pressure()) <= static_cast<int>(level) + 1);
        level = account.pressure();
    }
    CHECK(level == MemoryPressure::Close);
    CHECK(account.excessBytes(MemoryPressure::Refuse) > 0);
    CHECK_FALSE(refusesRequest(MemoryPressure::Backpressure, true));
    CHECK(refusesRequest(MemoryPressure::Refuse, true));
    CHECK_FALSE(refusesRequest(MemoryPressure::Refuse, false));
    CHECK(refusesRequest(MemoryPressure::Close, false));
}

// Guards against closing ordinary callers in place of those that hold memory and make no progress.
TEST_CASE("the connections that hold most and progress least are closed first, and no more than needed")
{
    const std::vector<ConnectionUse> uses {
        { 4 * kilobyte, 0, ConnectionStage::Idle, seconds(100) },
        { 100 * kilobyte, 0, ConnectionStage::Transferring, seconds(2) },
        { 50 * kilobyte, 0, ConnectionStage::Transferring, seconds(20) },
        { 1000 * kilobyte, 0, ConnectionStage::Transferring, {} },
        { 2000 * kilobyte, 0, ConnectionStage::Running, seconds(3) },
        { 50 * kilobyte, 100, ConnectionStage::Transferring, seconds(20) },
    };
    using Indices = std::vector<std::size_t>;
    CHECK(connectionsToClose(uses, MemoryPressure::Backpressure, megabyte).empty());
    CHECK(connectionsToClose(uses, MemoryPressure::Refuse, 0).empty());
    CHECK(connectionsToClose(uses, MemoryPressure::Refuse, 60 * kilobyte) == Indices { 5, 2 });
    CHECK(connectionsToClose(uses, MemoryPressure::Refuse, 10 * megabyte) == Indices { 5, 2, 1 });
    CHECK(connectionsToClose(uses, MemoryPressure::Close, 10 * megabyte) == Indices { 5, 2, 3, 1, 4 });
}

// Guards against a bound that exceeds a small machine or container, or leaves too little.
TEST_CASE("the bound follows the memory of the machine and the limits of control groups")
{
    CHECK(memoryBound(0) == 64 * megabyte);
    CHECK(memoryBound(160 * megabyte) == 64 * megabyte);
    CHECK(memoryBound(1000 * megabyte) == 400 * megabyte);
    CHECK(memoryBound(100'000 * megabyte) == 1024 * megabyte);
    using Files = std::vector<std::string>;
    CHECK(memoryLimitFiles("0::/\n") == Files { "/sys/fs/cgroup/memory.max" });
    CHECK(memoryLimitFiles("0::/a/b\n")
        == Files {
            "/sys/fs/cgroup/a/b/memory.max", "/sys/fs/cgroup/a/memory.max", "/sys/fs/cgroup/memory.max" });
    CHECK(memoryLimitFiles("3:cpu:/x\n9:memory:/a\nbroken\n")
        == Files {
            "/sys/fs/cgroup/memory/a/memory.limit_in_bytes", "/sys/fs/cgroup/memory/memory.limit_in_bytes" });
    CHECK(parseMemoryLimit("167772160\n") == 160 * megabyte);
    CHECK_FALSE(parseMemoryLimit("max\n"));
    CHECK_FALSE(parseMemoryLimit("9223372036854771712\n"));
    CHECK_FALSE(parseMemoryLimit(""));
}

} // namespace tarragonhaven::testing
