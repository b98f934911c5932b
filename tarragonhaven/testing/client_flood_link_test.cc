// Client floods at the port where other nodes connect, floods of more connections than a process may have
// descriptors, and what remains in use after a flood. See client_flood_test.cc.

#include "tarragonhaven/peer_frame.h"
#include "tarragonhaven/testing/client_flood_check.h"

using namespace tarragonhaven::testing;

namespace {

constexpr FloodBounds largeCrowd { floodLargeCrowd, floodMachineKb };
// A limit of descriptors, and of these the part that a node keeps free, which is the same as on the smallest
// machine: 200 of 4,100.
constexpr int descriptorLimit = 500;
constexpr int descriptorsKeptFree = descriptorLimit * 200 / 4100;
constexpr int connectionsOverLimit = 700;
// The level to which the memory in use has to return, and the time for it.
constexpr double returnedShare = 1.2;
constexpr auto returnTime = std::chrono::seconds(5);

void checkPeers(const FloodPattern& pattern, const FloodBounds& bounds = {})
{
    FloodFleet fleet({ .nodes = 2 });
    checkFlood(fleet, FloodFleet::peerAddress(), pattern, bounds);
}

// A frame of the largest size that lacks its last byte.
FloodPattern unfinishedFrame()
{
    FloodPattern pattern;
    for (int shift = 24; shift >= 0; shift -= 8)
        pattern.beginning += static_cast<char>(tarragonhaven::maximumFrameBytes >> shift & 0xff);
    pattern.beginning += std::string(tarragonhaven::maximumFrameBytes - 1, 'x');
    return pattern;
}

// The first bytes of a frame, and then one byte every 100 ms.
FloodPattern slowFrame()
{
    // A frame differs from a head in its first bytes only.
    auto pattern = slowHead({});
    pattern.beginning = std::string("\0\0\1\0", 4);
    return pattern;
}

void checkDescriptors(const tarragonhaven::Endpoint& server, const FloodPattern& pattern)
{
    FloodFleet fleet({ .nodes = 1, .descriptors = descriptorLimit });
    REQUIRE(fleet.awaitReady());
    {
        const ClientFlood flood(server, connectionsOverLimit, pattern);
        CHECK(awaitFlood(flood, fleet) <= descriptorLimit - descriptorsKeptFree);
        checkProcesses(fleet, floodMachineKb);
    }
    CHECK(FloodFleet::serves(1));
    checkProcesses(fleet, floodMachineKb);
}

} // namespace

// Guards against frames of strangers that are read into memory before it is known who sends them.

TEST_CASE("client flood: frames that stop short at the peers' port", "[net][flood]")
{
    checkPeers(unfinishedFrame());
}

TEST_CASE("client flood: frames that arrive byte by byte at the peers' port", "[net][flood]")
{
    checkPeers(slowFrame(), largeCrowd);
}

TEST_CASE("client flood: requests sent ahead without reading at the peers' port", "[net][flood]")
{
    checkPeers(requestsSentAhead(FloodFleet::idempotentPath()));
}

// Guards against connections that take all descriptors, so that a node can neither reach its target nor its
// peers.

TEST_CASE("client flood: more connections than descriptors at the callers' address", "[net][flood]")
{
    checkDescriptors(FloodFleet::callerAddress(), slowHead(FloodFleet::idempotentPath()));
}

TEST_CASE("client flood: more connections than descriptors at the operators' address", "[net][flood]")
{
    checkDescriptors(FloodFleet::operatorAddress(), slowHead(FloodFleet::operatorPath("/ready")));
}

TEST_CASE("client flood: more connections than descriptors at the peers' port", "[net][flood]")
{
    checkDescriptors(FloodFleet::peerAddress(), slowFrame());
}

// Guards against memory that stays in use after the callers have left.

TEST_CASE("client flood: memory in use returns to the level before", "[net][flood]")
{
    FloodFleet fleet({ .nodes = 2 });
    REQUIRE(fleet.awaitReady());
    std::vector<long> beforeKb;
    for (auto* process : fleet.processes())
        beforeKb.push_back(memoryUsage(process->pid()).residentKb);
    {
        const ClientFlood flood(FloodFleet::callerAddress(), floodCallers,
            unfinishedBody(FloodFleet::uploadPath(), BodyPieces::OneByteChunks));
        awaitFlood(flood, fleet);
    }
    const auto returned = [&] {
        for (std::size_t i = 0; i < beforeKb.size(); ++i) {
            const auto nowKb = memoryUsage(fleet.processes()[i]->pid()).residentKb;
            if (static_cast<double>(nowKb) > returnedShare * static_cast<double>(beforeKb[i]))
                return false;
        }
        return true;
    };
    const auto deadline = std::chrono::steady_clock::now() + returnTime;
    while (!returned() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (std::size_t i = 0; i < beforeKb.size(); ++i) {
        const auto* process = fleet.processes()[i];
        const auto afterKb = memoryUsage(process->pid()).residentKb;
        CAPTURE(beforeKb[i], afterKb, memoryUsage(process->pid()).peakKb);
        if (floodMemoryIsChecked)
            CHECK(static_cast<double>(afterKb) <= returnedShare * static_cast<double>(beforeKb[i]));
    }
    CHECK(FloodFleet::serves(1));
}
