#include "tarragonhaven/sidecar_settings.h"

#include <catch2/catch.hpp>
#include <set>

using namespace tarragonhaven;

namespace {

RawSidecarSettings validSettings()
{
    RawSidecarSettings raw;
    raw.fleet = "f";
    raw.label = "n1";
    raw.dataCentre = "east";
    raw.service = "status";
    raw.targetAddress = "10.0.0.1:8000";
    raw.callerAddress = "10.0.0.1:8001";
    raw.peerAddress = "10.0.0.1:7000";
    raw.operatorAddress = "10.0.0.1:8002";
    raw.storeAddress = "10.200.0.1:8545";
    raw.logLinesPerSecond = 1000;
    raw.logBytesPerSecond = 500000;
    raw.quotaWindowSeconds = 5;
    raw.retryWindowSeconds = 10;
    raw.graceSeconds = 6;
    return raw;
}

} // namespace

TEST_CASE("all faults in the settings of a sidecar node are reported together")
{
    const auto parsed = parseSidecarSettings(validSettings());
    REQUIRE(parsed);
    CHECK(parsed->instance.text == "10.0.0.1");
    CHECK(parsed->policy.quotaWindow == std::chrono::seconds(5));
    CHECK_FALSE(parsed->metricsAddress);
    CHECK(parsed->policy.evacuationBound == std::chrono::seconds(5));
    CHECK(parsed->policy.coldPace == ColdPaceBound { 1.5, 8 });
    CHECK_FALSE(parsed->spill.enabled);
    auto raw = validSettings();
    raw.service = "";
    raw.metricsAddress = "here";
    raw.logLevel = "loud";
    raw.logBytesPerSecond = -1;
    raw.quotaOvershoot = 11;
    raw.floorShare = 1.5;
    raw.graceSeconds = 0;
    raw.evacuationMs = "soon";
    raw.coldOvershoot = "0.5";
    raw.coldSlack = "-1";
    raw.regions = "north";
    raw.pipeline = { 0, 1000 };
    raw.spill.secondsPerMegabyte = -1;
    raw.connections = { -1, 1e9, 0, 2, 1 };
    raw.progress = { 0, 0, 4000 };
    raw.heads = { 1, 1000 };
    raw.memoryBoundBytes = 1000;
    const auto rejected = parseSidecarSettings(raw);
    REQUIRE_FALSE(rejected);
    std::set<std::string> faultPaths;
    for (const auto& fault : rejected.error())
        faultPaths.insert(fault.path);
    CHECK(faultPaths
        == std::set<std::string> { "service", "metrics_address", "log_level", "log_bytes_per_second",
            "quota_overshoot", "floor_share", "grace_seconds", "evacuation_ms", "cold_overshoot",
            "cold_slack", "regions", "pipeline_requests", "pipeline_bytes", "spill_seconds_per_megabyte",
            "caller_connections", "peer_connections", "address_share", "reserved_descriptors",
            "body_bytes_per_second", "body_grace_seconds", "response_timeout_seconds", "head_fields",
            "head_memory_bytes", "memory_bound_bytes" });
}
