#include "tarragonhaven/sidecar_settings.h"

#include "tarragonhaven/memory/memory_bound.h"
#include "tarragonhaven/settings_checks.h"

namespace tarragonhaven {

namespace {

    constexpr double maximumWindowSeconds = 3600;
    constexpr double maximumRequests = 1e9;

    FleetPolicy readPolicy(const RawSidecarSettings& raw, util::Faults& faults)
    {
        requireRange(raw.quotaWindowSeconds, 0.1, maximumWindowSeconds, "quota_window_seconds", faults);
        requireRange(raw.quotaOvershoot, 0, 10, "quota_overshoot", faults);
        requireRange(raw.quotaSlack, 0, maximumRequests, "quota_slack", faults);
        requireRange(raw.retryWindowSeconds, 0.1, maximumWindowSeconds, "retry_window_seconds", faults);
        requireRange(raw.retryShare, 0, 10, "retry_share", faults);
        requireRange(raw.retrySlack, 0, maximumRequests, "retry_slack", faults);
        requireRange(raw.floorShare, 0, 1, "floor_share", faults);
        requireRange(raw.graceSeconds, 0.5, maximumWindowSeconds, "grace_seconds", faults);
        FleetPolicy policy;
        policy.quotaWindow = util::fromSeconds(raw.quotaWindowSeconds);
        policy.quotaOvershoot = raw.quotaOvershoot;
        policy.quotaSlack = raw.quotaSlack;
        policy.retryWindow = util::fromSeconds(raw.retryWindowSeconds);
        policy.retryShare = raw.retryShare;
        policy.retrySlack = raw.retrySlack;
        policy.floorShare = raw.floorShare;
        policy.gracePeriod = util::fromSeconds(raw.graceSeconds);
        const auto evacuationMs
            = parseOptionalNumber(raw.evacuationMs, 0, maximumWindowSeconds * 1000, "evacuation_ms", faults);
        if (evacuationMs)
            policy.evacuationBound = util::fromSeconds(*evacuationMs / 1000);
        policy.coldPace.overshoot = parseOptionalNumber(raw.coldOvershoot, 1, 10, "cold_overshoot", faults)
                                        .value_or(policy.coldPace.overshoot);
        policy.coldPace.slack = parseOptionalNumber(raw.coldSlack, 0, maximumRequests, "cold_slack", faults)
                                    .value_or(policy.coldPace.slack);
        return policy;
    }

} // namespace

util::Checked<SidecarSettings> parseSidecarSettings(const RawSidecarSettings& raw)
{
    util::Faults faults;
    requireNotEmpty(raw.fleet, "fleet", faults);
    requireNotEmpty(raw.label, "label", faults);
    requireNotEmpty(raw.dataCentre, "data_centre", faults);
    requireNotEmpty(raw.service, "service", faults);
    SidecarSettings settings;
    settings.fleet = raw.fleet;
    settings.label = raw.label;
    settings.dataCentre = { raw.dataCentre };
    settings.service = { raw.service };
    settings.targetAddress = parseAddressSetting(raw.targetAddress, "target_address", faults);
    settings.callerAddress = parseAddressSetting(raw.callerAddress, "caller_address", faults);
    settings.peerAddress = parseAddressSetting(raw.peerAddress, "peer_address", faults);
    settings.operatorAddress = parseAddressSetting(raw.operatorAddress, "operator_address", faults);
    if (!raw.metricsAddress.empty())
        settings.metricsAddress = parseAddressSetting(raw.metricsAddress, "metrics_address", faults);
    settings.storeAddress = parseAddressSetting(raw.storeAddress, "store_address", faults);
    settings.instance = { settings.peerAddress.address };
    settings.logLevel = parseLogLevelSetting(raw.logLevel, faults);
    settings.logBudget = parseLogBudgetSettings(raw.logLinesPerSecond, raw.logBytesPerSecond, faults);
    settings.policy = readPolicy(raw, faults);
    settings.regions = parseRegionTable(raw.regions, "regions", faults);
    // A thousand seconds for a megabyte keeps every body in its data centre.
    requireRange(raw.spill.secondsPerMegabyte, 0, 1000, "spill_seconds_per_megabyte", faults);
    settings.spill = raw.spill;
    settings.pipeline = parsePipelineLimits(raw.pipeline, faults);
    settings.connections = parseConnectionSettings(raw.connections, faults);
    settings.progress = parseProgressLimits(raw.progress, faults);
    settings.heads = parseHeadLimits(raw.heads, faults);
    settings.memoryBoundBytes = parseMemoryBound(raw.memoryBoundBytes, faults);
    if (!faults.empty())
        return tl::unexpected(faults);
    return settings;
}

} // namespace tarragonhaven
