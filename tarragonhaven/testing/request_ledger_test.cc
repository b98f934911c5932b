#include "tarragonhaven/testing/request_ledger.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven::testing;

TEST_CASE("the request ledger reports each violated guarantee and nothing else")
{
    struct Row {
        const char* description;
        bool idempotent;
        int status;
        bool complete;
        bool matchesRequest;
        int runs;
        std::size_t expectedViolations;
    };
    const Row rows[] = {
        { "ran once and was answered", false, 200, true, true, 1, 0 },
        { "non-idempotent request ran twice", false, 200, true, true, 2, 1 },
        { "idempotent request ran twice", true, 200, true, true, 2, 0 },
        { "refused and did not run", false, 503, true, false, 0, 0 },
        { "non-idempotent request refused although it ran", false, 429, true, false, 1, 1 },
        { "idempotent request refused although it ran", true, 503, true, false, 1, 0 },
        { "outcome unknown to the caller, and ran", false, 502, true, false, 1, 0 },
        { "response to another request", true, 200, true, false, 1, 1 },
        { "truncated response", true, 200, false, false, 1, 0 },
        { "answered although no target ran it", true, 200, true, true, 0, 1 },
        { "no response", false, 0, false, false, 1, 0 },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        RequestLedger ledger;
        ledger.add({ "r1", "o", row.idempotent, {}, {}, row.status, row.complete, row.matchesRequest });
        if (row.runs > 0)
            ledger.addRuns({ { "r1", row.runs } });
        CHECK(ledger.findViolations({}).size() == row.expectedViolations);
    }
}

TEST_CASE("the request ledger finds the largest number of requests that ran in any window")
{
    RequestLedger ledger;
    const std::chrono::steady_clock::time_point start { std::chrono::hours(1) };
    for (int i = 0; i < 10; ++i) {
        const auto id = "r" + std::to_string(i);
        ledger.add({ id, "o", true, start + std::chrono::milliseconds(100 * i), {}, 200, true, true });
        ledger.addRuns({ { id, 1 } });
    }
    CHECK(ledger.findViolations({ { "o", std::chrono::milliseconds(500), 5 } }).empty());
    CHECK(ledger.findViolations({ { "o", std::chrono::milliseconds(501), 5 } }).size() == 1);
    CHECK(ledger.findViolations({ { "other", std::chrono::milliseconds(501), 0 } }).empty());
}
