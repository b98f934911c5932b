// The node program: reads the settings, runs a Node, and stops it on a signal. See node.h.

#include "tarragonhaven/node.h"
#include "tarragonhaven/node_settings_parse.h"
#include "tarragonhaven/stop_signals.h"
#include "util/environment_flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(std::string, fleet, "", "Identity: name of the fleet as declared in the configuration.");
ABSL_FLAG(std::string, instance, "", "Identity: name of this instance as declared in the configuration.");
ABSL_FLAG(std::string, data_centre, "", "Identity: name of the data centre of this instance.");
ABSL_FLAG(std::string, caller_address, "", "Addresses: IP address and port for callers.");
ABSL_FLAG(std::string, peer_address, "", "Addresses: IP address and port for other nodes.");
ABSL_FLAG(std::string, operator_address, "", "Addresses: IP address and port of the operator endpoint.");
ABSL_FLAG(std::string, platform_address, "",
    "Addresses: IP address and port of the platform's configuration service.");
ABSL_FLAG(std::vector<std::string>, seed_peers, {},
    "Addresses: peer addresses, separated by commas, to fetch the configuration from while the platform is "
    "unreachable.");
ABSL_FLAG(std::string, log_level, "info", "Log: lowest level that is logged: debug, info, warning or error.");
ABSL_FLAG(double, log_lines_per_second, 1000, "Log: maximum lines per second of each thread, 1 to 1000000.");
ABSL_FLAG(
    double, log_bytes_per_second, 500000, "Log: maximum bytes per second of each thread, 1 to 1000000000.");
ABSL_FLAG(double, drain_seconds, 20,
    "Limits: how long a planned stop waits for requests in progress, 0 to 3600 s.");
ABSL_FLAG(int, maximum_connections, 10000, "Limits: maximum open connections of callers, 1 to 100000.");
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
ABSL_FLAG(double, pipeline_requests, 16,
    "Limits: requests in progress on one connection of a caller, 1 to 1000. 1 handles one after another.");
ABSL_FLAG(double, pipeline_bytes, 4194304,
    "Limits: bytes of requests and responses held for one connection of a caller, 65536 to 67108864.");

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;
constexpr const char* environmentPrefix = "TARRAGONHAVEN";
constexpr const char* usage
    = "Runs the proxy node of one instance: accepts requests of callers and guards the targets there.\n\n"
      "Each flag may be set by an environment variable instead, as in TARRAGONHAVEN_CALLER_ADDRESS for\n"
      "--caller_address; the command line takes precedence. SIGTERM or SIGINT begins a planned stop, "
      "which\n"
      "further signals do not shorten.\n"
      "Exit codes: 0 after a planned stop, 1 when the sockets cannot be opened, 2 for invalid settings.";

tarragonhaven::RawNodeSettings rawSettings()
{
    return { absl::GetFlag(FLAGS_fleet), absl::GetFlag(FLAGS_instance), absl::GetFlag(FLAGS_data_centre),
        absl::GetFlag(FLAGS_caller_address), absl::GetFlag(FLAGS_peer_address),
        absl::GetFlag(FLAGS_operator_address), absl::GetFlag(FLAGS_platform_address),
        absl::GetFlag(FLAGS_seed_peers), absl::GetFlag(FLAGS_log_level),
        absl::GetFlag(FLAGS_log_lines_per_second), absl::GetFlag(FLAGS_log_bytes_per_second),
        absl::GetFlag(FLAGS_drain_seconds), absl::GetFlag(FLAGS_maximum_connections),
        { absl::GetFlag(FLAGS_pipeline_requests), absl::GetFlag(FLAGS_pipeline_bytes) },
        { 0, absl::GetFlag(FLAGS_peer_connections), absl::GetFlag(FLAGS_operator_connections),
            absl::GetFlag(FLAGS_address_share), absl::GetFlag(FLAGS_reserved_descriptors) },
        { absl::GetFlag(FLAGS_body_bytes_per_second), absl::GetFlag(FLAGS_body_grace_seconds),
            absl::GetFlag(FLAGS_response_timeout_seconds) },
        { absl::GetFlag(FLAGS_head_fields), absl::GetFlag(FLAGS_head_memory_bytes) },
        absl::GetFlag(FLAGS_memory_bound_bytes) };
}

int reportFaults(const util::Faults& faults)
{
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s: %s\n", fault.path.c_str(), fault.reason.c_str());
    return exitUsage;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(usage);
    const auto environmentFaults = util::applyEnvironment(environmentPrefix,
        { "fleet", "instance", "data_centre", "caller_address", "peer_address", "operator_address",
            "platform_address", "seed_peers", "log_level", "log_lines_per_second", "log_bytes_per_second",
            "drain_seconds", "maximum_connections", "pipeline_requests", "pipeline_bytes", "peer_connections",
            "operator_connections", "address_share", "reserved_descriptors", "body_bytes_per_second",
            "body_grace_seconds", "response_timeout_seconds", "head_fields", "head_memory_bytes",
            "memory_bound_bytes" });
    const auto positional = absl::ParseCommandLine(argumentCount, arguments);
    if (positional.size() > 1)
        return reportFaults({ { positional[1], "is not a flag" } });
    if (!environmentFaults.empty())
        return reportFaults(environmentFaults);
    const auto settings = tarragonhaven::parseNodeSettings(rawSettings());
    if (!settings)
        return reportFaults(settings.error());
    const auto signals = tarragonhaven::blockNodeSignals();
    tarragonhaven::Node node(*settings);
    const auto error = node.start();
    if (!error.empty()) {
        std::fprintf(stderr, "%s\n", error.c_str());
        return exitFailure;
    }
    // The settings come only from flags and the environment, so there is nothing to reload on SIGHUP.
    tarragonhaven::awaitStopSignal(signals, [] {});
    node.beginStop();
    tarragonhaven::awaitDrained([&node] { return node.drained(); });
    return 0;
}
