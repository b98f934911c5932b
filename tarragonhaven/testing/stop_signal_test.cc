// Signals to the process of a node while it stops.

#include "tarragonhaven/testing/client_flood_fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace tarragonhaven::testing {

// Guards against requests that are lost because a node which is stopping is sent the stop signal again: two
// planned changes may each stop it, and a supervisor may repeat its signal.
TEST_CASE("a node that is sent further stop signals completes the requests in progress", "[net]")
{
    const int signalNumber = GENERATE(SIGTERM, SIGINT, SIGHUP);
    CAPTURE(signalNumber);
    FloodFleet fleet({ .nodes = 1 });
    REQUIRE(fleet.awaitReady());
    FaultPlan slow;
    slow.serviceMs = 2000;
    fleet.target(1).setPlan(slow);
    const auto before = fleet.target(1).stats().requests;
    std::optional<CallerResponse> response;
    std::thread caller([&response] { response = FloodFleet::sendOrdinary(1, "POST", "/upload/slow"); });
    const bool running = eventually([&] { return fleet.target(1).stats().requests > before; });
    auto& process = *fleet.processes().front();
    process.sendSignal(SIGTERM);
    for (int i = 0; i < 3; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        process.sendSignal(signalNumber);
    }
    caller.join();
    CHECK(running);
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->complete);
    CHECK(process.waitForExit(std::chrono::seconds(10)) == 0);
}

} // namespace tarragonhaven::testing
