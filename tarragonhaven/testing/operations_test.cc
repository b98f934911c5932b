// Tests of actions of operators and hostile callers over real sockets: planned stops under load, changes of
// the configuration, revoked keys, outages of the platform, and malformed requests.

#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/peer_frame.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    // How long to read from a connection that the node keeps open, in milliseconds.
    constexpr int readTimeoutMs = 1500;

    CallerRequest requestWithKey(const std::string& target, const std::string& organisation = "harbour")
    {
        return { "GET", target, { { "X-Api-Key", testKey(organisation) } }, "" };
    }

    Revision revisionOf(LocalFleet& fleet, const std::string& instance)
    {
        HttpCaller caller(fleet.operatorAddress(instance));
        const auto response = caller.send({ "GET", "/status", {}, "" });
        const auto state
            = response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
        return state.is_object() ? state.value("revision", Revision { 0 }) : 0;
    }

    bool allReachRevision(LocalFleet& fleet, Revision revision)
    {
        return eventually([&] {
            for (const auto& instance : fleet.instances()) {
                if (revisionOf(fleet, instance) != revision)
                    return false;
            }
            return true;
        });
    }

} // namespace

TEST_CASE("a valid configuration comes into force on all nodes and an invalid one on none", "[net]")
{
    LocalFleet fleet(FleetOptions {});
    fleet.startAll();
    auto& route = fleet.declaration().index.routes.front();
    route.pattern = "/renamed/**";
    const auto accepted = fleet.publish();
    REQUIRE(allReachRevision(fleet, accepted));
    for (const auto& instance : fleet.instances()) {
        HttpCaller caller(fleet.callerAddress(instance));
        CHECK(caller.send(requestWithKey("/renamed/1"))->status == 200);
        CHECK(caller.send(requestWithKey("/status/1"))->status == 405);
    }
    // A route to an unknown service: the revision is refused as a whole, including its valid change of a
    // pattern.
    route.pattern = "/again/**";
    route.service = { "nowhere" };
    const auto refused = fleet.publish();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const auto& instance : fleet.instances()) {
        CHECK(revisionOf(fleet, instance) == accepted);
        HttpCaller caller(fleet.callerAddress(instance));
        CHECK(caller.send(requestWithKey("/renamed/1"))->status == 200);
    }
    route.service = { "status" };
    const auto corrected = fleet.publish();
    CHECK(corrected > refused);
    REQUIRE(allReachRevision(fleet, corrected));
}

TEST_CASE(
    "a node that starts while the platform is down or stale gets the newest revision from peers", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 3 });
    fleet.startAll();
    fleet.declaration().index.routes.front().pattern = "/second/**";
    const auto second = fleet.publish();
    REQUIRE(allReachRevision(fleet, second));
    fleet.kill("i13");
    SECTION("away") { fleet.platform().setUnavailable(true); }
    SECTION("stale") { fleet.platform().pinRevision(1); }
    REQUIRE(fleet.startNode("i13"));
    HttpCaller caller(fleet.callerAddress("i13"));
    // The second revision has no GET route for /status/**, only HEAD and PUT routes, so that GET is refused
    // with 405. The node uses this revision from its first response on.
    const auto response = caller.send(requestWithKey("/status/1"));
    REQUIRE(response);
    CHECK(response->status == 405);
    CHECK(revisionOf(fleet, "i13") == second);
    for (const auto& instance : fleet.instances())
        CHECK(revisionOf(fleet, instance) == second);
}

TEST_CASE("a revoked key is rejected on open connections and its downloads are cut off", "[net]")
{
    LocalFleet fleet(FleetOptions {});
    fleet.startAll();
    HttpCaller connected(fleet.callerAddress("i21"));
    REQUIRE(connected.send(requestWithKey("/status/1"))->status == 200);
    // The caller reads the download slowly, so that it is still in progress when the key is revoked.
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket download(io);
    const auto address = fleet.callerAddress("i11");
    download.connect({ boost::asio::ip::make_address(address.address), address.port });
    const std::string request
        = "GET /status/bytes/60000000 HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + testKey("harbour") + "\r\n\r\n";
    boost::asio::write(download, boost::asio::buffer(request));
    std::string part(100000, '\0');
    std::size_t received = download.read_some(boost::asio::buffer(part));
    REQUIRE(received > 0);
    fleet.declaration().organisations[0].keys.clear();
    fleet.publish();
    CHECK(eventually([&] {
        const auto response = connected.send(requestWithKey("/status/1"));
        return response && response->status == 401;
    }));
    boost::system::error_code error;
    while (!error)
        received += download.read_some(boost::asio::buffer(part), error);
    CHECK(received < 60000000);
    CHECK(connected.send(requestWithKey("/status/1", "orchard"))->status == 200);
}

TEST_CASE("a planned stop completes the requests in progress and cuts off no response", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 3 });
    for (const char* target : { "t11", "t12", "t13" }) {
        FaultPlan plan;
        plan.serviceMs = 60;
        fleet.target(target).setPlan(plan);
    }
    fleet.startAll();
    std::atomic<bool> running { true };
    std::atomic<long> answered { 0 };
    std::atomic<long> refusedNotRun { 0 };
    std::atomic<long> failed { 0 };
    std::vector<std::thread> callers;
    // Half of the callers use the stopping node and change to another node when a response has the field
    // "Connection: close"; the others use another node throughout.
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            std::string instance = i % 2 == 0 ? "i12" : "i11";
            auto caller = std::make_unique<HttpCaller>(fleet.callerAddress(instance));
            while (running.load()) {
                const auto response = caller->send(requestWithKey("/status/bytes/50000"));
                const bool complete = response && response->complete;
                if (complete && response->status == 200)
                    ++answered;
                else if (complete && response->field("Tarragonhaven-Run") == "not-run")
                    ++refusedNotRun;
                else
                    ++failed;
                if (response && response->field("Connection") == "close")
                    caller = std::make_unique<HttpCaller>(fleet.callerAddress("i13"));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.node("i12").beginStop();
    CHECK(eventually([&] { return fleet.node("i12").drained(); }));
    fleet.kill("i12");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    running.store(false);
    for (auto& caller : callers)
        caller.join();
    CHECK(failed.load() == 0);
    CHECK(answered.load() > 50);
    INFO("requests refused as not run: " << refusedNotRun.load());
    // While the node stops, each of its own callers is refused at most once.
    CHECK(refusedNotRun.load() <= 12);
}

TEST_CASE("a target of a leaving instance receives no new requests", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 3 });
    fleet.startAll();
    fleet.platform().setLeaving({ "i12" });
    HttpCaller caller(fleet.callerAddress("i11"));
    // Nodes that watch the platform read its list of instances about every second, the others every 2 to 6 s.
    std::this_thread::sleep_for(std::chrono::seconds(7));
    const auto before = fleet.target("t12").stats().requests;
    for (int i = 0; i < 100; ++i)
        REQUIRE(caller.send(requestWithKey("/status/1"))->status == 200);
    CHECK(fleet.target("t12").stats().requests == before);
}

TEST_CASE("malformed requests get an error response or a closed connection", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 1 });
    fleet.startAll();
    const auto before = fleet.target("t11").stats().requests;
    const std::string key = "X-Api-Key: " + testKey("harbour") + "\r\n";
    const std::string validHead = "GET /status/1 HTTP/1.1\r\nHost: h\r\n" + key;
    struct Case {
        std::string name;
        std::string bytes;
        std::string expected;
    };
    const std::vector<Case> cases {
        { "garbage", "\x01\x02\x03 garbage\r\n\r\n", "HTTP/1.1 400" },
        { "both lengths", validHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 400" },
        { "two lengths", validHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 400" },
        { "two codings", validHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
            "HTTP/1.1 400" },
        { "unknown coding", validHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400" },
        { "no host", "GET /status/1 HTTP/1.1\r\n" + key + "\r\n", "HTTP/1.1 400" },
        { "two hosts", validHead + "Host: other\r\n\r\n", "HTTP/1.1 400" },
        { "old version", "GET /status/1 HTTP/1.0\r\nHost: h\r\n" + key + "\r\n", "HTTP/1.1 505" },
        { "absolute target", "GET http://h/status/1 HTTP/1.1\r\nHost: h\r\n" + key + "\r\n", "HTTP/1.1 400" },
        { "large head", validHead + "X-Big: " + std::string(100000, 'b') + "\r\n\r\n", "HTTP/1.1 431" },
        { "bad chunk",
            "PUT /status/1 HTTP/1.1\r\nHost: h\r\n" + key + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "" },
        { "truncated head", "GET /status/1 HTT", "" },
    };
    for (const auto& item : cases) {
        INFO(item.name);
        HttpCaller caller(fleet.callerAddress("i11"));
        const auto response = caller.sendRaw(item.bytes, readTimeoutMs);
        CHECK(response.substr(0, item.expected.size()) == item.expected);
        CHECK(response.find("HTTP/1.1 200") == std::string::npos);
    }
    const auto seen = fleet.target("t11").stats().requests;
    // The case "bad chunk" reaches the target as a request with a truncated body, which the target does not
    // run.
    CHECK(seen == before);
    const auto peer = fleet.declaration().index.instances.front().peerAddress;
    for (const std::string& bytes : { std::string("\xff\xff\xff\xff garbage"), std::string(4, '\0'),
             std::string("\0\0\0\x05hello", 9), encodeFrame(GoodbyeFrame {}) }) {
        HttpCaller caller(peer);
        CHECK(caller.sendRaw(bytes, readTimeoutMs).empty());
    }
    HelloFrame incompatibleHello;
    incompatibleHello.version = 99;
    incompatibleHello.fleet = "test";
    HttpCaller other(peer);
    CHECK(other.sendRaw(encodeFrame(incompatibleHello), readTimeoutMs).empty());
    HttpCaller caller(fleet.callerAddress("i11"));
    CHECK(caller.send(requestWithKey("/status/1"))->status == 200);
}

TEST_CASE("responses that a target cuts off or sends without framing never appear complete", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 2 });
    fleet.startAll();
    struct Case {
        double cutShare;
        double unframedShare;
    };
    for (const auto& item : { Case { 1, 0 }, Case { 0, 1 } }) {
        for (const char* target : { "t11", "t12" }) {
            FaultPlan plan;
            plan.cutShare = item.cutShare;
            plan.unframedShare = item.unframedShare;
            fleet.target(target).setPlan(plan);
        }
        for (int i = 0; i < 20; ++i) {
            HttpCaller caller(fleet.callerAddress(i % 2 == 0 ? "i11" : "i12"));
            const auto response = caller.send(requestWithKey("/status/1"));
            REQUIRE(response);
            const bool refused = response->status >= 500 && response->field("Tarragonhaven-Run") == "unknown";
            INFO(response->status << " " << response->body);
            CHECK((refused || !response->complete));
        }
    }
}

TEST_CASE("pipelined requests get their own responses in order", "[net]")
{
    LocalFleet fleet(FleetOptions {});
    fleet.startAll();
    std::string bytes;
    for (int i = 0; i < 50; ++i)
        bytes += "GET /status/item-" + std::to_string(i)
            + "- HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + testKey(i % 2 == 0 ? "harbour" : "orchard")
            + "\r\nRequest-Mark: mark-" + std::to_string(i) + "-\r\n\r\n";
    HttpCaller caller(fleet.callerAddress("i11"));
    const auto responses = caller.sendRaw(bytes, 2 * readTimeoutMs);
    std::size_t at = 0;
    for (int i = 0; i < 50; ++i) {
        INFO(i);
        at = responses.find("/status/item-" + std::to_string(i) + "-", at);
        REQUIRE(at != std::string::npos);
        const auto mark = responses.rfind("mark-" + std::to_string(i) + "-", at);
        CHECK(mark != std::string::npos);
    }
}

} // namespace tarragonhaven::testing
