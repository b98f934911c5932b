#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace tarragonhaven;
using namespace tarragonhaven::testing;

namespace {

std::string request(const std::string& method, const std::string& target, const std::string& mark)
{
    const std::string body = method == "POST" ? "a body that is sent at once" : "";
    return method + " " + target + " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer " + testKey("harbour")
        + "\r\nRequest-Mark: " + mark + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace

// A GET and a POST request queue for the only slot of a slow target while their callers disconnect.
TEST_CASE("a request whose caller disconnects while it is queued reaches no target", "[net]")
{
    FleetOptions options;
    options.dataCentres = 1;
    options.instancesPerDataCentre = 2;
    options.slots = 1;
    LocalFleet fleet(options);
    fleet.startAll();
    FaultPlan plan;
    plan.serviceMs = 1500;
    const auto instances = fleet.instances();
    const std::vector<std::string> targets { "t11", "t12" };
    for (const auto& target : targets)
        fleet.target(target).setPlan(plan);
    // These requests occupy both slots and are queued before the requests whose callers disconnect.
    std::vector<std::thread> slotHolders;
    for (int i = 0; i < 4; ++i) {
        slotHolders.emplace_back([&fleet, &instances] {
            HttpCaller caller(fleet.callerAddress(instances[0]));
            caller.sendRaw(request("GET", "/status/slow", "held"), 4000);
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::vector<std::thread> disconnectingCallers;
    for (const auto* method : { "GET", "POST" }) {
        disconnectingCallers.emplace_back([&fleet, &instances, method] {
            HttpCaller caller(fleet.callerAddress(instances[0]));
            const std::string target = std::string(method) == "GET" ? "/status/left" : "/notes";
            caller.sendRaw(request(method, target, std::string("left-") + method), 300);
        });
    }
    for (auto& disconnectingCaller : disconnectingCallers)
        disconnectingCaller.join();
    for (auto& holder : slotHolders)
        holder.join();
    long slotHolderRuns = 0;
    for (const auto& target : targets) {
        auto runs = fleet.target(target).stats().runs;
        CHECK(runs["left-GET"] == 0);
        CHECK(runs["left-POST"] == 0);
        slotHolderRuns += runs["held"];
    }
    CHECK(slotHolderRuns == 4);
}
