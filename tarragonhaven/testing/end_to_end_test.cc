// End-to-end tests over real sockets: requests from a caller through the entry node and the guard node to a
// target, and the responses back.

#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace tarragonhaven::testing {

namespace {

    HeaderField keyField(const std::string& organisation)
    {
        return { "Authorization", "Bearer " + testKey(organisation) };
    }

    CallerRequest get(const std::string& target) { return { "GET", target, { keyField("harbour") }, "" }; }

} // namespace

TEST_CASE("an entry node forwards requests to targets of its own and of other instances", "[net]")
{
    LocalFleet fleet(FleetOptions {});
    fleet.startAll();
    HttpCaller caller(fleet.callerAddress("i11"));
    std::set<std::string> targets;
    for (int i = 0; i < 200; ++i) {
        const auto response = caller.send(get("/status/" + std::to_string(i)));
        REQUIRE(response);
        INFO(response->body);
        REQUIRE(response->status == 200);
        REQUIRE(response->complete);
        const auto body = nlohmann::json::parse(response->body);
        CHECK(body["path"] == "/status/" + std::to_string(i));
        targets.insert(body["target"].get<std::string>());
    }
    CHECK(targets.contains("t11"));
    CHECK(targets.contains("t12"));
}

TEST_CASE("bodies are streamed completely in both directions", "[net]")
{
    LocalFleet fleet(FleetOptions {});
    fleet.startAll();
    for (const auto& instance : fleet.instances()) {
        HttpCaller caller(fleet.callerAddress(instance));
        const auto download = caller.send(get("/status/bytes/3000000"));
        REQUIRE(download);
        CHECK(download->complete);
        CHECK(download->body.size() == 3000000);
        const auto chunked = caller.send(get("/status/chunked/bytes/1000000"));
        REQUIRE(chunked);
        CHECK(chunked->complete);
        CHECK(chunked->body.size() == 1000000);
        const auto upload
            = caller.send({ "PUT", "/status/up", { keyField("harbour") }, std::string(2000000, 'u') });
        REQUIRE(upload);
        CHECK(upload->status == 200);
        CHECK(nlohmann::json::parse(upload->body)["bodyBytes"] == 2000000);
        const auto head = caller.send({ "HEAD", "/status/bytes/500", { keyField("harbour") }, "" });
        REQUIRE(head);
        CHECK(head->field("Content-Length") == "500");
        CHECK(head->body.empty());
    }
}

TEST_CASE("refusals carry their reason and the run state not-run", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 1 });
    fleet.startAll();
    HttpCaller caller(fleet.callerAddress("i11"));
    struct Case {
        CallerRequest request;
        int status;
        std::string reason;
    };
    const auto before = fleet.target("t11").stats().requests;
    const std::vector<Case> cases {
        { { "GET", "/status/1", {}, "" }, 401, "key-missing" },
        { { "GET", "/status/1", { { "X-Api-Key", "nonsense" } }, "" }, 401, "key-not-accepted" },
        { { "GET", "/status/1?key=" + testKey("harbour"), {}, "" }, 400, "key-in-query" },
        { get("/nowhere"), 404, "route-unknown" },
        { { "DELETE", "/status/1", { keyField("harbour") }, "" }, 405, "method-not-routed" },
        { { "POST", "/enrollments", { keyField("harbour") }, "{}" }, 428, "identity-missing" },
    };
    for (const auto& item : cases) {
        INFO(item.reason);
        const auto response = caller.send(item.request);
        REQUIRE(response);
        CHECK(response->status == item.status);
        CHECK(response->field("Tarragonhaven-Refusal") == item.reason);
        CHECK(response->field("Tarragonhaven-Run") == "not-run");
        CHECK(nlohmann::json::parse(response->body)["refusal"]["reason"] == item.reason);
    }
    CHECK(fleet.target("t11").stats().requests == before);
    CHECK(caller.send({ "GET", "/open/1", {}, "" })->status == 200);
}

TEST_CASE("keys of callers are removed before a request reaches a target", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 2 });
    fleet.startAll();
    HttpCaller caller(fleet.callerAddress("i11"));
    const auto other = testKey("orchard");
    for (int i = 0; i < 20; ++i) {
        auto request = get("/status/1");
        request.fields.push_back({ "X-Api-Key", testKey("harbour") });
        request.fields.push_back({ "Cookie", "a=b; key=" + other });
        request.fields.push_back({ "X-Note", "ok" });
        REQUIRE(caller.send(request)->status == 200);
    }
    for (const auto& name : { "t11", "t12" }) {
        bool noteSeen = false;
        for (const auto& line : fleet.target(name).stats().headerLines) {
            CHECK(line.find("thk_") == std::string::npos);
            noteSeen = noteSeen || line == "X-Note: ok";
        }
        CHECK(noteSeen);
    }
}

TEST_CASE("an organisation above its rate limit is refused while others are served", "[net]")
{
    auto declaration = testDeclaration(FleetOptions {});
    declaration.organisations[0].ratePerSecond = 20;
    declaration.organisations[0].burst = 8;
    LocalFleet fleet(declaration);
    fleet.startAll();
    int refused = 0;
    int answered = 0;
    for (int i = 0; i < 100; ++i) {
        HttpCaller caller(fleet.callerAddress(fleet.instances().at(static_cast<std::size_t>(i) % 4)));
        const auto response = caller.send(get("/status/1"));
        REQUIRE(response);
        answered += response->status == 200 ? 1 : 0;
        refused += response->status == 429 ? 1 : 0;
        if (response->status == 429) {
            CHECK(response->field("Tarragonhaven-Run") == "not-run");
            CHECK(!response->field("Retry-After").empty());
        }
        const auto other = caller.send({ "GET", "/status/1", { keyField("orchard") }, "" });
        REQUIRE(other);
        CHECK(other->status == 200);
    }
    CHECK(refused > 0);
    CHECK(answered > 0);
    CHECK(refused + answered == 100);
}

} // namespace tarragonhaven::testing
