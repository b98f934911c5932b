// Queries the operator endpoints of nodes and prints the state of the fleet as tables or as JSON.

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/http_get.h"
#include "util/environment_flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

ABSL_FLAG(
    std::vector<std::string>, nodes, {}, "Operator addresses of the nodes to query, separated by commas.");
ABSL_FLAG(bool, json, false, "Write the states of the nodes as one JSON array instead of tables.");

namespace {

using nlohmann::json;

constexpr int exitUnreachable = 1;
constexpr int exitUsage = 2;
constexpr auto timeout = std::chrono::seconds(3);
constexpr const char* usage
    = "Shows the state of a fleet, as reported by the operator endpoints of its nodes.\n\n"
      "  tarragonhaven_status --nodes=10.0.0.1:9300,10.0.0.2:9300 [--json]\n\n"
      "Exit codes: 0 all nodes responded, 1 some nodes did not respond, 2 usage error.";

// Queries all nodes concurrently. Returns their states, and adds the nodes that did not respond with a JSON
// object to `unresponsive`.
std::vector<json> queryNodes(
    const std::vector<tarragonhaven::Endpoint>& nodes, std::vector<std::string>& unresponsive)
{
    boost::asio::io_context io;
    std::vector<json> states;
    for (const auto& node : nodes) {
        tarragonhaven::httpGet(io, node, "/status", { timeout }, [&, node](const auto& response) {
            auto state = response ? json::parse(response->body, nullptr, false) : json();
            if (state.is_object())
                states.push_back(std::move(state));
            else
                unresponsive.push_back(toString(node));
        });
    }
    io.run();
    return states;
}

void printNodes(const std::vector<json>& states)
{
    std::printf("%-20s %-16s %9s %8s %12s %10s\n", "INSTANCE", "DATA CENTRE", "REVISION", "ANSWERS",
        "CONNECTIONS", "STOPPING");
    for (const auto& state : states)
        std::printf("%-20s %-16s %9lld %8lld %12lld %10s\n", state.value("instance", "").c_str(),
            state.value("dataCentre", "").c_str(), state.value("revision", 0LL), state.value("answers", 0LL),
            state.value("connections", 0LL), state.value("stopping", false) ? "yes" : "no");
}

// Prints a row per target with the nodes that do not use it fully, and with their evidence against it.
void printTargets(const std::vector<json>& states)
{
    std::map<std::string, std::vector<std::string>> restrictedBy;
    std::map<std::string, std::string> services;
    for (const auto& state : states) {
        for (const auto& target : state.value("targets", json::array())) {
            const auto name = target.value("target", "");
            services[name] = target.value("service", "");
            const auto ejectionState = target.value("standing", "active");
            if (ejectionState == "active" && !target.value("leaving", false))
                continue;
            char score[32];
            std::snprintf(score, sizeof score, "%.1f", target.value("score", 0.0));
            restrictedBy[name].push_back(state.value("instance", "") + ": "
                + (target.value("leaving", false) ? "leaving" : ejectionState) + " (evidence " + score + ")");
        }
    }
    std::printf("\n%-20s %-16s %s\n", "TARGET", "SERVICE", "NOT FULLY USED BY");
    for (const auto& [name, service] : services) {
        std::string nodes;
        for (const auto& item : restrictedBy[name])
            nodes += (nodes.empty() ? "" : "; ") + item;
        std::printf("%-20s %-16s %s\n", name.c_str(), service.c_str(), nodes.empty() ? "-" : nodes.c_str());
    }
}

void printOrganisations(const std::vector<json>& states)
{
    struct Row {
        long long answered = 0;
        long long refused = 0;
        long long refusedForRate = 0;
    };
    std::map<std::string, Row> rows;
    std::map<std::string, long long> reasons;
    for (const auto& state : states) {
        for (const auto& item : state.value("organisations", json::array())) {
            auto& row = rows[item.value("organisation", "")];
            row.answered += item.value("answered", 0LL);
            row.refused += item.value("refused", 0LL);
            row.refusedForRate += item.value("refusedForRate", 0LL);
        }
        // Must outlive the loop, because items() keeps a reference to it.
        const json refusals = state.value("refusals", json::object());
        for (const auto& [reason, count] : refusals.items())
            reasons[reason] += count.get<long long>();
    }
    std::printf("\n%-30s %10s %10s %12s\n", "ORGANISATION", "ANSWERED", "REFUSED", "OVER RATE");
    for (const auto& [name, row] : rows)
        std::printf("%-30s %10lld %10lld %12lld\n", name.empty() ? "(no API key)" : name.c_str(),
            row.answered, row.refused, row.refusedForRate);
    std::printf("\n%-30s %10s\n", "REFUSAL REASON", "REQUESTS");
    for (const auto& [reason, count] : reasons)
        std::printf("%-30s %10lld\n", reason.c_str(), count);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(usage);
    util::applyEnvironment("TARRAGONHAVEN", { "nodes" });
    absl::ParseCommandLine(argumentCount, arguments);
    std::vector<tarragonhaven::Endpoint> nodes;
    for (const auto& text : absl::GetFlag(FLAGS_nodes)) {
        const auto endpoint = tarragonhaven::parseEndpoint(text);
        if (!endpoint) {
            std::fprintf(stderr, "nodes: \"%s\" is not an IP address and a port\n", text.c_str());
            return exitUsage;
        }
        nodes.push_back(*endpoint);
    }
    if (nodes.empty()) {
        std::fprintf(stderr, "%s\n", usage);
        return exitUsage;
    }
    std::vector<std::string> unresponsive;
    const auto states = queryNodes(nodes, unresponsive);
    if (absl::GetFlag(FLAGS_json)) {
        std::printf("%s\n", json(states).dump(2).c_str());
    } else {
        printNodes(states);
        printTargets(states);
        printOrganisations(states);
    }
    for (const auto& node : unresponsive)
        std::fprintf(stderr, "%s: no valid response to GET /status within 3 s\n", node.c_str());
    return unresponsive.empty() ? 0 : exitUnreachable;
}
