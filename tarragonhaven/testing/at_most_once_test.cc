// Requests that must not run twice, resent by their caller. The tests cover the whole path over real sockets,
// and the recorder of idempotency keys alone under random sequences of calls.

#include "tarragonhaven/idempotency_key_issuer.h"
#include "tarragonhaven/idempotency_recorder.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace tarragonhaven::testing {

namespace {

    constexpr const char* nextKeyField = "Tarragonhaven-Next-Idempotency-Key";

    CallerRequest enrollment(const std::string& idempotencyKey, const std::string& organisation = "harbour")
    {
        CallerRequest request { "POST", "/enrollments", { { "X-Api-Key", testKey(organisation) } },
            "{\"child\":1}" };
        if (!idempotencyKey.empty())
            request.fields.push_back({ "Idempotency-Key", idempotencyKey });
        return request;
    }

    std::string obtainKey(HttpCaller& caller)
    {
        const auto offered = caller.send(enrollment(""));
        REQUIRE(offered);
        REQUIRE(offered->status == 428);
        return offered->field(nextKeyField);
    }

    int runCount(LocalFleet& fleet, const std::string& idempotencyKey)
    {
        int runs = 0;
        for (const auto& service : fleet.declaration().index.services) {
            for (const auto& target : service.targets) {
                const auto seen = fleet.target(target.name.text).stats();
                const auto found = seen.runs.find(idempotencyKey);
                runs += found == seen.runs.end() ? 0 : found->second;
            }
        }
        return runs;
    }

} // namespace

TEST_CASE("a request resent through other nodes with the same idempotency key runs once", "[net]")
{
    LocalFleet fleet(FleetOptions {});
    fleet.startAll();
    HttpCaller caller(fleet.callerAddress("i11"));
    const auto idempotencyKey = obtainKey(caller);
    REQUIRE(!idempotencyKey.empty());
    const auto first = caller.send(enrollment(idempotencyKey));
    REQUIRE(first);
    CHECK(first->status == 200);
    CHECK(!first->field(nextKeyField).empty());
    for (const auto& instance : fleet.instances()) {
        HttpCaller other(fleet.callerAddress(instance));
        const auto again = other.send(enrollment(idempotencyKey));
        REQUIRE(again);
        CHECK(again->status == 409);
        CHECK(again->field("Tarragonhaven-Refusal") == "identity-completed");
        CHECK(again->field("Tarragonhaven-Run") == "ran");
    }
    CHECK(runCount(fleet, idempotencyKey) == 1);
}

TEST_CASE("an idempotency key is valid only unaltered and for the organisation it was issued to", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 2 });
    fleet.startAll();
    HttpCaller caller(fleet.callerAddress("i11"));
    const auto idempotencyKey = obtainKey(caller);
    for (const auto& wrong : { enrollment(idempotencyKey, "orchard"), enrollment("made-up-by-the-caller"),
             enrollment(idempotencyKey + "0"), enrollment("i12.1.1.1.0123456789abcdef") }) {
        const auto response = caller.send(wrong);
        REQUIRE(response);
        CHECK((response->status == 400 || response->status == 409));
        CHECK(response->field("Tarragonhaven-Run") != "ran");
    }
    CHECK(runCount(fleet, idempotencyKey) == 0);
    CHECK(caller.send(enrollment(idempotencyKey))->status == 200);
    CHECK(runCount(fleet, idempotencyKey) == 1);
}

TEST_CASE("a key whose issuer has restarted is refused as unknown and no request runs with it", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 3 });
    fleet.startAll();
    HttpCaller issuer(fleet.callerAddress("i11"));
    const auto used = obtainKey(issuer);
    const auto unused = obtainKey(issuer);
    REQUIRE(issuer.send(enrollment(used))->status == 200);
    fleet.kill("i11");
    HttpCaller other(fleet.callerAddress("i12"));
    // Until another node has taken over the shares that the killed node owned, requests may be refused
    // because no tokens are available.
    const auto sendAdmitted = [&](const std::string& idempotencyKey) {
        std::optional<CallerResponse> response;
        eventually([&] {
            response = other.send(enrollment(idempotencyKey));
            const auto reason = response ? response->field("Tarragonhaven-Refusal") : "";
            return response && reason != "limit-unavailable" && reason != "rate-exceeded";
        });
        return response;
    };
    const auto whileIssuerDown = sendAdmitted(used);
    REQUIRE(whileIssuerDown);
    CHECK(whileIssuerDown->status == 503);
    CHECK(whileIssuerDown->field("Tarragonhaven-Refusal") == "recorder-unreachable");
    REQUIRE(fleet.startNode("i11"));
    for (const auto& idempotencyKey : { used, unused }) {
        const auto response = sendAdmitted(idempotencyKey);
        REQUIRE(response);
        CHECK(response->status == 409);
        CHECK(response->field("Tarragonhaven-Run") == "unknown");
    }
    CHECK(runCount(fleet, used) == 1);
    CHECK(runCount(fleet, unused) == 0);
}

TEST_CASE("if the target drops the connection the key stays in use and the request is not rerun", "[net]")
{
    LocalFleet fleet(FleetOptions { 1, 2 });
    fleet.startAll();
    for (const char* target : { "t11", "t12" }) {
        FaultPlan plan;
        plan.dropAll = true;
        fleet.target(target).setPlan(plan);
    }
    HttpCaller caller(fleet.callerAddress("i11"));
    const auto idempotencyKey = obtainKey(caller);
    const auto first = caller.send(enrollment(idempotencyKey));
    REQUIRE(first);
    CHECK(first->status == 502);
    CHECK(first->field("Tarragonhaven-Run") == "unknown");
    for (const char* target : { "t11", "t12" })
        fleet.target(target).setPlan(FaultPlan {});
    const auto again = caller.send(enrollment(idempotencyKey));
    REQUIRE(again);
    CHECK(again->field("Tarragonhaven-Refusal") == "identity-in-use");
    CHECK(again->field("Tarragonhaven-Run") == "unknown");
    CHECK(runCount(fleet, idempotencyKey) == 1);
}

TEST_CASE("the recorder allows one run per key for any order of begin and end messages")
{
    using util::ManualClock;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        ManualClock clock;
        const RecorderOptions options { std::chrono::seconds(60), 1000 };
        IdempotencyKeyIssuer issuer({ "a" }, 7, "secret");
        IdempotencyRecorder recorder({ "a" }, 7, "secret", options);
        const OrganisationName organisation { "harbour" };
        std::vector<IdempotencyKey> keys;
        // Expected state of each key: the attempt that may be running, and how many attempts have run.
        std::map<std::uint64_t, std::uint64_t> running;
        std::map<std::uint64_t, int> runs;
        std::uint64_t attempt = 0;
        std::vector<std::pair<IdempotencyKey, std::uint64_t>> finished;
        for (int i = 0; i < 400; ++i) {
            clock.advance(std::chrono::milliseconds(random() % 1000));
            if (keys.empty() || random() % 4 == 0)
                keys.push_back(*parseIdempotencyKey(issuer.issue(organisation, clock.now())));
            const auto& key = keys[random() % keys.size()];
            const auto verdict = recorder.begin(key, organisation, "POST /x", ++attempt, clock.now());
            if (verdict.verdict != IdempotencyVerdict::Run)
                continue;
            REQUIRE(running.find(key.number) == running.end());
            REQUIRE(runs[key.number] == 0);
            // The same attempt may begin again, because its message may be duplicated.
            CHECK(recorder.begin(key, organisation, "POST /x", attempt, clock.now()).verdict
                == IdempotencyVerdict::Run);
            switch (random() % 3) {
            case 0:
                recorder.release(key, attempt);
                finished.emplace_back(key, attempt);
                break;
            case 1:
                ++runs[key.number];
                recorder.complete(key, attempt, 200);
                break;
            default:
                ++runs[key.number];
                running[key.number] = attempt;
            }
            // Late or duplicate ends of earlier attempts do not affect later attempts.
            if (!finished.empty() && random() % 2 == 0)
                recorder.release(finished[random() % finished.size()].first, finished.back().second);
        }
        CHECK(recorder.size() <= 400);
    }
}

TEST_CASE("the recorder refuses keys that are foreign, in use, completed, expired or over its limit")
{
    util::ManualClock clock;
    IdempotencyKeyIssuer issuer({ "a" }, 7, "secret");
    IdempotencyRecorder recorder({ "a" }, 7, "secret", { std::chrono::seconds(60), 2 });
    IdempotencyRecorder restarted({ "a" }, 8, "other", { std::chrono::seconds(60), 2 });
    const OrganisationName organisation { "harbour" };
    const auto fresh = [&] { return *parseIdempotencyKey(issuer.issue(organisation, clock.now())); };
    const auto key = fresh();
    CHECK(restarted.begin(key, organisation, "p", 1, clock.now()).verdict == IdempotencyVerdict::IssuerLost);
    CHECK(recorder.begin(key, { "orchard" }, "p", 1, clock.now()).verdict == IdempotencyVerdict::NotIssued);
    CHECK(recorder.begin(key, organisation, "p", 1, clock.now()).verdict == IdempotencyVerdict::Run);
    CHECK(recorder.begin(key, organisation, "q", 1, clock.now()).verdict == IdempotencyVerdict::NotIssued);
    CHECK(recorder.begin(key, organisation, "p", 2, clock.now()).verdict == IdempotencyVerdict::InUse);
    recorder.complete(key, 1, 201);
    CHECK(recorder.begin(key, organisation, "p", 3, clock.now())
        == RecordedVerdict { IdempotencyVerdict::Completed, 201 });
    CHECK(recorder.begin(fresh(), organisation, "p", 4, clock.now()).verdict == IdempotencyVerdict::Run);
    // At the maximum number of records no key is allowed to run for the first time.
    CHECK(recorder.begin(fresh(), organisation, "p", 5, clock.now()).verdict == IdempotencyVerdict::InUse);
    clock.advance(std::chrono::seconds(61));
    CHECK(recorder.begin(key, organisation, "p", 6, clock.now()).verdict == IdempotencyVerdict::Expired);
    CHECK(recorder.begin(fresh(), organisation, "p", 7, clock.now()).verdict == IdempotencyVerdict::Run);
}

} // namespace tarragonhaven::testing
