#include "tarragonhaven/sidecar_settings.h"

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
        return policy;
    }

} // namespace

util::Checked<SidecarSettings> parseSidecarSettings(const RawSidecarSettings& raw)
{
    util::Faults faults;
    requireText(raw.fleet, "fleet", faults);
    requireText(raw.label, "label", faults);
    requireText(raw.dataCentre, "data_centre", faults);
    requireText(raw.service, "service", faults);
    SidecarSettings settings;
    settings.fleet = raw.fleet;
    settings.label = raw.label;
    settings.dataCentre = { raw.dataCentre };
    settings.service = { raw.service };
    settings.targetAddress = readAddress(raw.targetAddress, "target_address", faults);
    settings.callerAddress = readAddress(raw.callerAddress, "caller_address", faults);
    settings.peerAddress = readAddress(raw.peerAddress, "peer_address", faults);
    settings.operatorAddress = readAddress(raw.operatorAddress, "operator_address", faults);
    if (!raw.metricsAddress.empty())
        settings.metricsAddress = readAddress(raw.metricsAddress, "metrics_address", faults);
    settings.storeAddress = readAddress(raw.storeAddress, "store_address", faults);
    settings.instance = { settings.peerAddress.address };
    settings.logLevel = readLogLevel(raw.logLevel, faults);
    settings.logBudget = readLogBudget(raw.logLinesPerSecond, raw.logBytesPerSecond, faults);
    settings.policy = readPolicy(raw, faults);
    if (!faults.empty())
        return tl::unexpected(faults);
    return settings;
}

} // namespace tarragonhaven
