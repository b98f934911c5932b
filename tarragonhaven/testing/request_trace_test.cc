#include "tarragonhaven/outcome_summary.h"
#include "tarragonhaven/request_trace.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace tarragonhaven;

namespace {

std::string line(
    const std::string& time, const std::string& instance, const std::string& kind, const std::string& rest)
{
    return "{\"time\":\"2026-01-02T03:04:" + time + "Z\",\"level\":\"info\",\"instance\":\"" + instance
        + "\",\"kind\":\"" + kind + "\"" + (rest.empty() ? "" : "," + rest) + "}";
}

RequestTrace traceOf(const std::vector<std::string>& lines, const std::string& request = "r1")
{
    RequestTraceBuilder builder(request);
    for (const auto& text : lines)
        builder.addLogLine(text);
    return builder.finish();
}

bool mentions(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

const std::string route1
    = line("05.100", "n1", "route", R"("request":"r1","try":1,"target":"t2","revision":7)");
const std::string attempt1 = line("05.150", "n2", "attempt",
    R"("request":"r1","target":"t2","slots":5,"slotsInUse":5,"waiting":3,"queuedMs":40,"firstByteMs":8,"reason":"target-failed")");
const std::string failed1 = line("05.151", "n1", "try-failed",
    R"("request":"r1","target":"t2","try":1,"reason":"target-failed","run":"unknown","detail":"Connection reset by peer","again":"it may have run")");
const std::string refused = line("05.152", "n1", "refusal",
    R"("request":"r1","organisation":"o","reason":"target-failed","run":"unknown","detail":"Connection reset by peer")");
const std::string opened
    = line("05.160", "n2", "breaker", R"("target":"t2","state":"open","answers":90,"failures":1)");

} // namespace

TEST_CASE(
    "the cause of a request that a target cut off names the target, why there was no retry, and the breaker")
{
    const auto trace = traceOf({ route1, attempt1, failed1, refused, opened });
    CHECK(trace.steps.size() == 4);
    CHECK(mentions(trace.outcome, "target-failed"));
    CHECK(mentions(trace.outcome, "unknown"));
    CHECK(mentions(trace.cause, "target t2"));
    CHECK(mentions(trace.cause, "Connection reset by peer"));
    CHECK(mentions(trace.cause, "it may have run"));
    CHECK(mentions(trace.cause, "among the first to meet the failure"));
    CHECK(trace.missing.empty());
}

TEST_CASE("the trace does not depend on the order of lines, lines of other requests, or text before a line")
{
    std::vector<std::string> lines { route1, attempt1, failed1, refused, opened,
        line("05.120", "n1", "route", R"("request":"r12","target":"t9")"), "not a line", "{}",
        "{\"kind\":3}" };
    const auto expected = toJson(traceOf(lines)).dump();
    std::mt19937 random(5);
    for (int i = 0; i < 50; ++i) {
        std::shuffle(lines.begin(), lines.end(), random);
        std::vector<std::string> prefixed;
        for (const auto& text : lines)
            prefixed.push_back("12.345 n1 " + text);
        CHECK(toJson(traceOf(prefixed)).dump() == expected);
    }
}

TEST_CASE("the cause is stated for each kind of outcome")
{
    struct Row {
        const char* description;
        std::vector<std::string> lines;
        std::string cause;
    };
    const auto failedAttempt
        = [](const std::string& time, const std::string& target, const std::string& reason) {
              return line(time, "n1", "try-failed",
                  "\"request\":\"r1\",\"target\":\"" + target + "\",\"try\":1,\"reason\":\"" + reason
                      + "\",\"run\":\"not-run\",\"again\":\"yes\"");
          };
    const std::vector<Row> rows {
        { "a rate limit",
            { line("01", "n1", "refusal",
                R"("request":"r1","organisation":"o","reason":"rate-exceeded","run":"not-run","detail":"beyond-share, own 4")") },
            "organisation o has reached its rate limit: beyond-share, own 4" },
        { "no target accepted the request",
            { failedAttempt("01", "t1", "no-free-slot"), failedAttempt("02", "t2", "no-free-slot"),
                failedAttempt("03", "t3", "queue-full"),
                line("04", "n1", "refusal", R"("request":"r1","reason":"no-target","run":"not-run")") },
            "2 x no-free-slot, 1 x queue-full" },
        { "a node that has just started",
            { line("01", "n1", "node", R"("event":"started","target":"10.0.0.1:80")"),
                line("02", "n1", "refusal", R"("request":"r1","reason":"not-ready","run":"not-run")") },
            "the node had started at 03:04:01.000" },
        { "a node without declarations",
            { line("01", "n1", "refusal", R"("request":"r1","reason":"not-ready","run":"not-run")") },
            "had not yet loaded its declarations" },
        { "a response, with the time of its stages",
            { line("01", "n1", "answer", R"("request":"r1","target":"t1","status":200,"tries":1,"ms":900)"),
                line("01", "n2", "attempt",
                    R"("request":"r1","target":"t1","slots":5,"slotsInUse":5,"waiting":2,"queuedMs":700,"firstByteMs":190,"status":200)") },
            "waited 700 ms for a slot (5 of 5 in use, 2 requests waiting ahead)" },
        { "a server error of the target itself",
            { line("01", "n1", "answer", R"("request":"r1","target":"t1","status":500,"tries":3,"ms":20)") },
            "the target itself responded with status 500" },
        { "a caller that closed its connection",
            { failedAttempt("01", "t1", "queue-full"), line("02", "n1", "caller-gone", R"("request":"r1")") },
            "queue-full" },
        { "no record of the end", { route1 }, "the end of this request is not in these logs" },
        { "nothing", {}, "the logs contain no line about this request" },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        const auto trace = traceOf(row.lines);
        INFO(trace.cause);
        CHECK(mentions(trace.cause, row.cause));
    }
}

TEST_CASE("the cause names a nested request that failed")
{
    const auto trace = traceOf(
        { line("01", "n1", "answer", R"("request":"r1","target":"t1","status":500,"tries":1,"ms":20)"),
            line("00", "n3", "refusal", R"("request":"r1.a","reason":"no-target","run":"not-run")"),
            line("00", "n3", "refusal", R"("request":"r1a","reason":"queue-full","run":"not-run")") });
    CHECK(trace.nestedRequests.size() == 1);
    CHECK(mentions(trace.cause, "its nested request r1.a was refused: no-target"));
}

TEST_CASE("records that are missing from the logs are listed")
{
    const auto withoutGuard = traceOf({ route1, failed1, refused });
    REQUIRE(withoutGuard.missing.size() == 1);
    CHECK(mentions(withoutGuard.missing[0], "the guard of t2"));
    const auto dropped = traceOf({ route1, attempt1, failed1, refused,
        line("06.000", "n1", "log", R"("event":"left-out","lines":{"route":12})"),
        line("50.000", "n1", "log", R"("event":"left-out","lines":{"route":9})") });
    REQUIRE(dropped.missing.size() == 1);
    CHECK(mentions(dropped.missing[0], "12"));
    CHECK(traceOf({ attempt1 }).missing.size() == 1);
    CHECK(traceOf({}).missing.size() == 1);
}

TEST_CASE("of old state records, a trace contains only declarations that are still in force")
{
    const auto trace = traceOf({ line("01.000", "n1", "configuration", R"("revision":3)"),
        line("02.000", "n1", "configuration", R"("revision":7)"),
        line("00.000", "n9", "configuration", R"("revision":9)"),
        line("01.000", "n2", "breaker", R"("target":"t2")"),
        line("45.000", "n1", "route", R"("request":"r1","target":"t2")") });
    REQUIRE(trace.stateRecords.size() == 1);
    CHECK(trace.stateRecords[0].text("revision") == "7");
}

TEST_CASE("outcomes of requests are counted, with an example request id for each")
{
    OutcomeSummary summary;
    for (const auto& text :
        { route1, refused, opened, line("01", "n1", "answer", R"("request":"r2","status":200)"),
            line("01", "n1", "answer", R"("request":"r3","status":200)") })
        summary.addLogLine(text);
    REQUIRE(summary.rows().size() == 2);
    CHECK(summary.rows().at("status 200").count == 2);
    CHECK(summary.rows().at("refused target-failed, unknown").example == "r1");
}
