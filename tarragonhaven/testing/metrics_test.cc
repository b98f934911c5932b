#include "tarragonhaven/traffic_metrics.h"

#include <catch2/catch.hpp>
#include <map>
#include <regex>
#include <sstream>

using namespace tarragonhaven;

namespace {

// Parsed text exposition format: metric types by name, and values by name and labels.
struct Exposition {
    std::map<std::string, std::string> types;
    std::map<std::string, double> values;
};

Exposition readExposition(const std::string& text)
{
    static const std::regex comment("# (HELP|TYPE) ([a-zA-Z_:][a-zA-Z0-9_:]*) (.*)");
    static const std::regex sample(
        "([a-zA-Z_:][a-zA-Z0-9_:]*)(\\{([a-zA-Z_]+=\"[^\"\\n]*\",?)*\\})? ([^ ]+)");
    Exposition result;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::smatch match;
        if (std::regex_match(line, match, comment)) {
            if (match[1] == "TYPE")
                CHECK(result.types.emplace(match[2], match[3]).second);
            continue;
        }
        INFO(line);
        REQUIRE(std::regex_match(line, match, sample));
        const auto value = match[4].str();
        CHECK(result.values.emplace(match[1].str() + match[2].str(), std::stod(value)).second);
    }
    return result;
}

} // namespace

TEST_CASE("metrics are valid text exposition format, and histogram buckets are consistent")
{
    TrafficMetrics metrics;
    for (const int milliseconds : { 1, 10, 10, 3000, 500'000 })
        metrics.recordResponse(
            { "status" }, { "harbour" }, RequestClass::Idempotent, std::chrono::milliseconds(milliseconds));
    metrics.recordRefusal({ "harbour" }, { RefusalReason::QueueFull, RunState::NotRun, {}, "" });
    metrics.recordFailedAttempt({ RefusalReason::TargetFailed, RunState::Unknown, {}, "" });
    metrics.recordEjectionEvent(EjectionEvent::Ejected);
    AttemptRecord attempt;
    attempt.queueTime = std::chrono::milliseconds(20);
    attempt.timeToFirstByte = std::chrono::milliseconds(30);
    metrics.recordAttempt(attempt);
    metrics.recordTransfer({ "a" }, { "b" });
    metrics.recordTransferredBytes({ "a" }, { "b" }, 300);
    MetricsPage page;
    metrics.addTo(page);
    const auto seen = readExposition(page.text());
    CHECK(seen.types.at("tarragonhaven_answers_total") == "counter");
    CHECK(seen.types.at("tarragonhaven_stage_seconds") == "histogram");
    CHECK(seen.values.at("tarragonhaven_answers_total") == 5);
    CHECK(seen.values.at("tarragonhaven_refusals_total{reason=\"queue-full\"}") == 1);
    CHECK(seen.values.at("tarragonhaven_failed_tries_total{reason=\"target-failed\"}") == 1);
    CHECK(seen.values.at("tarragonhaven_ejection_events_total{event=\"ejected\"}") == 1);
    CHECK(seen.values.at("tarragonhaven_transfers_total{from=\"a\",to=\"b\"}") == 1);
    CHECK(seen.values.at("tarragonhaven_transferred_bytes_total{from=\"a\",to=\"b\"}") == 300);
    const std::string totalBucketPrefix
        = "tarragonhaven_stage_seconds_bucket{stage=\"answer\",class=\"idempotent\",le=";
    CHECK(seen.values.at(totalBucketPrefix + "\"+Inf\"}") == 5);
    CHECK(seen.values.at("tarragonhaven_stage_seconds_count{stage=\"queue\",class=\"not-idempotent\"}") == 1);
    CHECK(seen.values.at("tarragonhaven_stage_seconds_count{stage=\"connection\",class=\"not-idempotent\"}")
        == 0);
    double last = 0;
    int buckets = 0;
    for (const auto& bucket : LatencyHistogram().buckets()) {
        CHECK(bucket.upperSeconds > last);
        last = bucket.upperSeconds;
        ++buckets;
    }
    CHECK(buckets == 24);
    CHECK(last == Approx(100));
}

TEST_CASE("a latency histogram counts times below and above its range")
{
    LatencyHistogram histogram;
    histogram.record({});
    histogram.record(std::chrono::microseconds(1));
    histogram.record(std::chrono::hours(1));
    const auto buckets = histogram.buckets();
    CHECK(buckets.front().cumulative == 2);
    CHECK(buckets.back().cumulative == 2);
    CHECK(histogram.count() == 3);
    CHECK(histogram.sumSeconds() == Approx(3600).epsilon(0.001));
}
