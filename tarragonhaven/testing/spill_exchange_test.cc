// Spill-over of requests that run over sockets.

#include "tarragonhaven/testing/directed_target.h"
#include "tarragonhaven/testing/entry_node.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace tarragonhaven;
using namespace tarragonhaven::testing;

namespace {

// Returns the value of a metric with its labels as on the page, or 0.
double metricOf(const std::string& page, const std::string& name)
{
    const auto found = page.find("\ntarragonhaven_" + name + " ");
    return found == std::string::npos ? 0 : std::stod(page.substr(found + name.size() + 15));
}

struct Transfers {
    int served = 0;
    // Attempts from "dc1" to each data centre, and the bytes of those that left.
    double stayed = 0;
    double left = 0;
    double leftBytes = 0;
};

// Eleven callers keep as many requests in progress where the targets of the own data centre have 12 slots,
// and those of the other one as many.
Transfers transfersAtPrice(double secondsPerMegabyte)
{
    std::vector<std::unique_ptr<DirectedTarget>> targets;
    std::vector<EntryNode::TargetAddress> addresses;
    for (int i = 0; i < 6; ++i) {
        targets.push_back(std::make_unique<DirectedTarget>(entryNodeHeaderNames().requestId));
        addresses.push_back({ "t" + std::to_string(i), targets.back()->address(), i < 3 ? "dc1" : "dc2" });
    }
    EntryNodeOptions options;
    options.deadline = std::chrono::seconds(10);
    options.objective = std::chrono::seconds(5);
    options.spill = { true, secondsPerMegabyte };
    EntryNode node(options, addresses);
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 11; ++i)
        callers.emplace_back([&node, &served, i] {
            HttpCaller caller(node.callerAddress());
            for (int number = 0; number < 30; ++number) {
                const auto id = std::to_string(100 * i + number);
                const auto response = caller.send({ "GET", "/status/w100/s1000",
                    { { "X-Api-Key", testKey("harbour") }, { entryNodeHeaderNames().requestId, id } }, "" });
                served += response && response->status == 200 && response->complete ? 1 : 0;
            }
        });
    for (auto& caller : callers)
        caller.join();
    const auto page = node.metrics();
    return { served, metricOf(page, R"(transfers_total{from="dc1",to="dc1"})"),
        metricOf(page, R"(transfers_total{from="dc1",to="dc2"})"),
        metricOf(page, R"(transferred_bytes_total{from="dc1",to="dc2"})") };
}

} // namespace

// Guards against a plan that is made and not followed, and against one that leaves requests without a
// response: nine slots are the most that the own data centre serves with a short wait, but no wait is worth a
// second for the kilobyte of a response. Without a plan about 90 of the 330 attempts leave, whatever the
// price.
TEST_CASE(
    "requests that a data centre lacks slots for run in another one, if their bytes are worth it", "[net]")
{
    const auto cheap = transfersAtPrice(0.05);
    const auto dear = transfersAtPrice(1000);
    CAPTURE(cheap.left, cheap.stayed, cheap.leftBytes, dear.left, dear.stayed);
    CHECK(cheap.served == 11 * 30);
    CHECK(dear.served == 11 * 30);
    CHECK(cheap.left > 0.1 * cheap.served);
    CHECK(cheap.left < 0.7 * cheap.served);
    CHECK(cheap.leftBytes >= cheap.left * 1000);
    // A few requests come before the first plan.
    CHECK(dear.left < 0.1 * dear.served);
}
