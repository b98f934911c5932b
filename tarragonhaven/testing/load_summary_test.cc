#include "tarragonhaven/load_summary.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

// Returns a log line at the given number of milliseconds.
std::string line(
    int milliseconds, const std::string& kind, const std::string& request, const std::string& fields)
{
    const auto millis = absl::StrCat(1000 + milliseconds).substr(1);
    return absl::StrCat(R"({"time":"2026-01-01T00:00:00.)", millis,
        R"(Z","level":"info","instance":"n","kind":")", kind, R"(","request":")", request, R"(",)", fields,
        "}");
}

std::string route(int milliseconds, const std::string& request, const std::string& target)
{
    return line(milliseconds, "route", request,
        absl::StrCat(R"("service":"s","rank":1,"organisation":"o","target":")", target, "\""));
}

} // namespace

// Guards against a count that takes a refusal of a guard for a request that a target has received.
TEST_CASE("a load summary tells refusals of guards from attempts that reached a target")
{
    LoadSummary summary;
    summary.addLogLine(route(0, "r1", "t1"));
    summary.addLogLine(
        line(1, "attempt", "r1", R"("target":"t1","slots":1,"slotsInUse":1,"reason":"no-free-slot")"));
    summary.addLogLine(line(2, "try-failed", "r1", R"("reason":"no-free-slot")"));
    summary.addLogLine(route(20, "r1", "t2"));
    summary.addLogLine(
        line(60, "attempt", "r1", R"("target":"t2","slots":2,"slotsInUse":1,"queuedMs":30,"status":200)"));
    summary.addLogLine(line(61, "answer", "r1", R"("status":200)"));
    const auto table = summary.finish();
    CHECK(table.requests == 1);
    CHECK(table.attempts == 2);
    CHECK(table.guardRefusals.at("no-free-slot") == 1);
    CHECK(table.requestsWithGuardRefusal == 1);
    CHECK(table.medianMs == 50);
    CHECK(table.groups.at({ "s", "1" }) == LoadSummary::Results { 1, 1, 0, 0, 0 });
}

TEST_CASE("a load summary counts refusals over a limit apart from others")
{
    LoadSummary summary;
    summary.addLogLine(
        line(0, "refusal", "r1", R"("organisation":"o","reason":"rate-exceeded","run":"not-run")"));
    summary.addLogLine(route(0, "r2", "t1"));
    summary.addLogLine(
        line(1, "refusal", "r2", R"("organisation":"o","reason":"no-target","run":"not-run")"));
    summary.addLogLine(route(0, "r3", "t1"));
    summary.addLogLine(line(2, "attempt", "r3", R"("target":"t1","reason":"target-failed","probe":true)"));
    summary.addLogLine(
        line(3, "refusal", "r3", R"("organisation":"o","reason":"target-failed","run":"unknown")"));
    const auto table = summary.finish();
    CHECK(table.organisations.at("o") == LoadSummary::Results { 3, 0, 1, 1, 1 });
    CHECK(table.probes == 1);
    CHECK(table.probesOfFailedRequests == 1);
    CHECK(table.refusedWithFreeSlot == 0);
}

// Guards against a refusal that hides that another target could have run the request.
TEST_CASE("a load summary finds requests that were refused while another target had a free slot")
{
    LoadSummary summary;
    summary.addLogLine(route(0, "r1", "t1"));
    summary.addLogLine(line(1, "attempt", "r1", R"("target":"t1","slots":3,"slotsInUse":1,"status":200)"));
    summary.addLogLine(line(2, "answer", "r1", R"("status":200)"));
    for (const auto& [milliseconds, id] : { std::pair(100, "r2"), std::pair(300, "r3") }) {
        summary.addLogLine(route(milliseconds, id, "t2"));
        summary.addLogLine(line(milliseconds, "refusal", id, R"("reason":"no-target","run":"not-run")"));
    }
    CHECK(summary.finish().refusedWithFreeSlot == 1);
}
