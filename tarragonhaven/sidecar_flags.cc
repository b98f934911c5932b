#include "tarragonhaven/sidecar_flags.h"

#include "util/environment_flags.h"
#include "util/flag_file.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <string>
#include <vector>

ABSL_FLAG(std::string, boot, "", "File that sets flags, one --name=value per line; read again on SIGHUP.");
ABSL_FLAG(
    std::string, fleet, "", "Identity: name of the fleet; nodes of different fleets do not communicate.");
ABSL_FLAG(std::string, label, "", "Identity: name of this node in its log.");
ABSL_FLAG(std::string, data_centre, "", "Identity: data centre of this instance.");
ABSL_FLAG(std::string, service, "", "Identity: service of the target beside this node.");
ABSL_FLAG(std::string, target_address, "", "Addresses: IP address and port of the target beside this node.");
ABSL_FLAG(std::string, caller_address, "", "Addresses: IP address and port where callers connect.");
ABSL_FLAG(std::string, peer_address, "",
    "Addresses: IP address and port where other nodes connect (TCP and UDP). All nodes use the same "
    "port.");
ABSL_FLAG(std::string, operator_address, "", "Addresses: IP address and port of the operator endpoint.");
ABSL_FLAG(std::string, metrics_address, "",
    "Addresses: second IP address and port of the operator endpoint, for metrics.");
ABSL_FLAG(std::string, store_address, "", "Addresses: IP address and port of the platform's store.");
ABSL_FLAG(std::string, log_level, "info", "Log: debug, info, warning or error.");
ABSL_FLAG(double, log_lines_per_second, 1000, "Log: maximum lines per second and thread, 1 to 1000000.");
ABSL_FLAG(double, log_bytes_per_second, 500000, "Log: maximum bytes per second and thread, 1 to 1000000000.");
ABSL_FLAG(double, quota_window_seconds, 5, "Limits: window of organisations' rate limits, 0.1 to 3600 s.");
ABSL_FLAG(double, quota_overshoot, 0.25,
    "Limits: share by which all nodes together may exceed a rate limit, 0 to 10.");
ABSL_FLAG(double, quota_slack, 20,
    "Limits: requests beyond --quota_overshoot by which all nodes together may exceed a rate limit.");
ABSL_FLAG(double, retry_window_seconds, 10, "Limits: window of the retry limit, 0.1 to 3600 s.");
ABSL_FLAG(
    double, retry_share, 0.2, "Limits: retries of all nodes together per request to a service, 0 to 10.");
ABSL_FLAG(double, retry_slack, 60,
    "Limits: retries of all nodes together that a service may get beyond --retry_share.");
ABSL_FLAG(
    double, floor_share, 0.7, "Limits: share of a service's slots that ejection leaves in use, 0 to 1.");
ABSL_FLAG(
    double, grace_seconds, 6, "Limits: time from the stop signal to the end of the process, 0.5 to 3600 s.");
ABSL_FLAG(std::string, evacuation_ms, "",
    "Limits: milliseconds after which an evacuated data centre gets no request, 0 to 3600000; 5000 if "
    "empty.");
ABSL_FLAG(std::string, cold_overshoot, "",
    "Limits: requests that a cold target may get in a second, as a multiple of those that it tolerates, 1 to "
    "10; 1.5 if empty.");
ABSL_FLAG(std::string, cold_slack, "",
    "Limits: requests beyond --cold_overshoot that a cold target may get in a second; 8 if empty.");
ABSL_FLAG(std::string, regions, "",
    "Regions: JSON object of data centres and the names of their regions; without it no region is known.");
ABSL_FLAG(double, pipeline_requests, 16,
    "Limits: requests in progress on one connection of a caller, 1 to 1000. 1 handles one after another.");
ABSL_FLAG(double, pipeline_bytes, 4194304,
    "Limits: bytes of requests and responses held for one connection of a caller, 65536 to 67108864.");
ABSL_FLAG(bool, spillover, false,
    "Spill-over: whether the share of requests that other data centres get follows from the load of all.");
ABSL_FLAG(double, spill_seconds_per_megabyte, 0.05,
    "Spill-over: the wait in seconds that a megabyte sent to another data centre is worth, 0 to 1000.");
ABSL_FLAG(double, caller_connections, 0,
    "Limits: maximum open connections of callers, 0 to 1000000; 0 derives it from the descriptors.");
ABSL_FLAG(double, peer_connections, 0,
    "Limits: maximum open links from other nodes, 0 to 1000000; 0 derives it from the descriptors.");
ABSL_FLAG(double, operator_connections, 0,
    "Limits: maximum open connections to the operator endpoint, 0 to 1000000; 0 derives it.");
ABSL_FLAG(double, address_share, 0.95,
    "Limits: share of the connections of a port that may come from one address, 0.01 to 1.");
ABSL_FLAG(double, reserved_descriptors, 200,
    "Limits: descriptors that no accepted connection uses, 32 to 1000000.");
ABSL_FLAG(double, body_bytes_per_second, 200,
    "Limits: rate at which a caller must send a body in the long run, 1 to 1000000.");
ABSL_FLAG(
    double, body_grace_seconds, 20, "Limits: how long a body may be late against that rate, 0.1 to 3600 s.");
ABSL_FLAG(double, response_timeout_seconds, 30,
    "Limits: how long a part of a response may wait to be read by its caller, 0.1 to 3600 s.");
ABSL_FLAG(double, head_fields, 200, "Limits: header fields of a request, 16 to 10000.");
ABSL_FLAG(double, head_memory_bytes, 98304,
    "Limits: memory of the parsed header fields of a request, 49152 to 16777216 bytes.");
ABSL_FLAG(double, memory_bound_bytes, 0,
    "Limits: memory that is held for callers, 0 or 1048576 to 1e12; 0 derives it from the machine.");

namespace tarragonhaven {

namespace {

    constexpr const char* environmentPrefix = "TARRAGONHAVEN";
    constexpr const char* usage
        = "Runs a node beside one target of a fleet whose nodes discover the targets from a store.\n\n"
          "Each flag may be set by an environment variable instead, as in TARRAGONHAVEN_CALLER_ADDRESS for\n"
          "--caller_address, or in the file that --boot names; the command line overrides the "
          "environment,\n"
          "which overrides the file. SIGTERM starts a planned stop; SIGHUP reads the file again\n"
          "and logs the result, and changed settings take effect at the next start.\n"
          "Exit codes: 0 after a planned stop, 1 if a socket cannot be opened, 2 if a setting is invalid.";

    RawSidecarSettings rawSettings()
    {
        return { absl::GetFlag(FLAGS_fleet), absl::GetFlag(FLAGS_label), absl::GetFlag(FLAGS_data_centre),
            absl::GetFlag(FLAGS_service), absl::GetFlag(FLAGS_target_address),
            absl::GetFlag(FLAGS_caller_address), absl::GetFlag(FLAGS_peer_address),
            absl::GetFlag(FLAGS_operator_address), absl::GetFlag(FLAGS_metrics_address),
            absl::GetFlag(FLAGS_store_address), absl::GetFlag(FLAGS_log_level),
            absl::GetFlag(FLAGS_log_lines_per_second), absl::GetFlag(FLAGS_log_bytes_per_second),
            absl::GetFlag(FLAGS_quota_window_seconds), absl::GetFlag(FLAGS_quota_overshoot),
            absl::GetFlag(FLAGS_quota_slack), absl::GetFlag(FLAGS_retry_window_seconds),
            absl::GetFlag(FLAGS_retry_share), absl::GetFlag(FLAGS_retry_slack),
            absl::GetFlag(FLAGS_floor_share), absl::GetFlag(FLAGS_grace_seconds),
            absl::GetFlag(FLAGS_evacuation_ms), absl::GetFlag(FLAGS_cold_overshoot),
            absl::GetFlag(FLAGS_cold_slack), absl::GetFlag(FLAGS_regions),
            { absl::GetFlag(FLAGS_pipeline_requests), absl::GetFlag(FLAGS_pipeline_bytes) },
            { absl::GetFlag(FLAGS_spillover), absl::GetFlag(FLAGS_spill_seconds_per_megabyte) },
            { absl::GetFlag(FLAGS_caller_connections), absl::GetFlag(FLAGS_peer_connections),
                absl::GetFlag(FLAGS_operator_connections), absl::GetFlag(FLAGS_address_share),
                absl::GetFlag(FLAGS_reserved_descriptors) },
            { absl::GetFlag(FLAGS_body_bytes_per_second), absl::GetFlag(FLAGS_body_grace_seconds),
                absl::GetFlag(FLAGS_response_timeout_seconds) },
            { absl::GetFlag(FLAGS_head_fields), absl::GetFlag(FLAGS_head_memory_bytes) },
            absl::GetFlag(FLAGS_memory_bound_bytes) };
    }

    util::Faults applyEnvironment()
    {
        return util::applyEnvironment(environmentPrefix,
            { "boot", "fleet", "label", "data_centre", "service", "target_address", "caller_address",
                "peer_address", "operator_address", "metrics_address", "store_address", "log_level",
                "log_lines_per_second", "log_bytes_per_second", "quota_window_seconds", "quota_overshoot",
                "quota_slack", "retry_window_seconds", "retry_share", "retry_slack", "floor_share",
                "grace_seconds", "evacuation_ms", "cold_overshoot", "cold_slack", "regions",
                "pipeline_requests", "pipeline_bytes", "spillover", "spill_seconds_per_megabyte",
                "caller_connections", "peer_connections", "operator_connections", "address_share",
                "reserved_descriptors", "body_bytes_per_second", "body_grace_seconds",
                "response_timeout_seconds", "head_fields", "head_memory_bytes", "memory_bound_bytes" });
    }

} // namespace

util::Checked<SidecarSettings> readSidecarFlags(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(usage);
    // The environment is applied twice: first because it may name the file, then again because its values
    // override those of the file. The command line is parsed last, because it overrides both.
    auto faults = applyEnvironment();
    const auto file = absl::GetFlag(FLAGS_boot);
    if (faults.empty() && !file.empty())
        faults = util::applyFlagFile(file);
    if (faults.empty())
        faults = applyEnvironment();
    const auto positionalArguments = absl::ParseCommandLine(argumentCount, arguments);
    if (positionalArguments.size() > 1)
        faults.push_back({ positionalArguments[1], "is not a flag" });
    if (!faults.empty())
        return tl::unexpected(faults);
    return parseSidecarSettings(rawSettings());
}

util::Checked<SidecarSettings> rereadSidecarFlags()
{
    const auto file = absl::GetFlag(FLAGS_boot);
    auto faults = file.empty() ? util::Faults {} : util::applyFlagFile(file);
    if (faults.empty())
        faults = applyEnvironment();
    if (!faults.empty())
        return tl::unexpected(faults);
    return parseSidecarSettings(rawSettings());
}

} // namespace tarragonhaven
