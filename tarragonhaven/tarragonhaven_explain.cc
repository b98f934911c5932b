// Reads the logs of nodes and explains the outcome of a request, or counts the outcomes of all requests.

#include "tarragonhaven/load_summary.h"
#include "tarragonhaven/outcome_summary.h"
#include "tarragonhaven/request_trace.h"
#include "util/environment_flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, request, "",
    "The id of the request to explain; if empty, the outcomes of all requests are counted.");
ABSL_FLAG(
    bool, load, false, "Print how the requests were placed: attempts, refusals, waits, results by rank.");
ABSL_FLAG(bool, json, false, "Write JSON instead of text.");

namespace {

constexpr int exitUsage = 2;
constexpr int exitNotFound = 1;
constexpr long linesPerProgressReport = 1'000'000;
constexpr const char* usage
    = "Shows the trace of a request through a fleet and the cause of its outcome, from the nodes' logs.\n\n"
      "  tarragonhaven_explain --request=ID [--json] LOG...   the trace of one request\n"
      "  tarragonhaven_explain [--json] LOG...                the number of requests by outcome, with an "
      "example id\n"
      "  tarragonhaven_explain --load [--json] LOG...         attempts, refusals, waits and results by "
      "service "
      "and rank\n\n"
      "LOG is a file with the log of one or several nodes; - or no LOG reads standard input.\n"
      "Exit codes: 0 success, 1 no line about the request, 2 usage error or unreadable LOG.";

using LineHandler = std::function<void(std::string_view)>;

void readLines(std::istream& input, const std::string& name, const LineHandler& handle)
{
    std::string line;
    for (long count = 1; std::getline(input, line); ++count) {
        handle(line);
        if (count % linesPerProgressReport == 0)
            std::fprintf(stderr, "%s: %ld lines read\n", name.c_str(), count);
    }
}

// Passes all lines of the files to `handle`. Returns an empty string, or an error if a file cannot be opened.
std::string readAll(const std::vector<std::string>& files, const LineHandler& handle)
{
    if (files.empty())
        readLines(std::cin, "standard input", handle);
    for (const auto& path : files) {
        if (path == "-") {
            readLines(std::cin, "standard input", handle);
            continue;
        }
        std::ifstream input(path);
        if (!input)
            return path + ": cannot open the file for reading";
        readLines(input, path, handle);
    }
    return {};
}

void printSummary(const tarragonhaven::OutcomeSummary& summary, bool json)
{
    auto rows = nlohmann::ordered_json::array();
    for (const auto& [outcome, row] : summary.rows()) {
        if (!json)
            std::printf("%-44s %10llu   example: %s\n", outcome.c_str(),
                static_cast<unsigned long long>(row.count), row.example.c_str());
        rows.push_back({ { "end", outcome }, { "requests", row.count }, { "example", row.example } });
    }
    if (json)
        std::printf("%s\n", rows.dump(2).c_str());
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(usage);
    for (const auto& fault : util::applyEnvironment("TARRAGONHAVEN", { "request", "load", "json" })) {
        std::fprintf(stderr, "%s: %s\n", fault.path.c_str(), fault.reason.c_str());
        return exitUsage;
    }
    const auto positional = absl::ParseCommandLine(argumentCount, arguments);
    const std::vector<std::string> files(positional.begin() + 1, positional.end());
    const auto request = absl::GetFlag(FLAGS_request);
    const bool json = absl::GetFlag(FLAGS_json);
    const bool load = absl::GetFlag(FLAGS_load);
    tarragonhaven::OutcomeSummary summary;
    tarragonhaven::LoadSummary loadSummary;
    tarragonhaven::RequestTraceBuilder builder(request);
    const auto error = readAll(files, [&](std::string_view line) {
        if (load)
            loadSummary.addLogLine(line);
        else if (request.empty())
            summary.addLogLine(line);
        else
            builder.addLogLine(line);
    });
    if (!error.empty()) {
        std::fprintf(stderr, "%s\n", error.c_str());
        return exitUsage;
    }
    if (load) {
        const auto table = loadSummary.finish();
        std::printf("%s\n", json ? toJson(table).dump(2).c_str() : toText(table).c_str());
        return 0;
    }
    if (request.empty()) {
        printSummary(summary, json);
        return 0;
    }
    const auto trace = builder.finish();
    if (json)
        std::printf("%s\n", toJson(trace).dump(2).c_str());
    else
        std::printf("%s", toText(trace).c_str());
    return trace.steps.empty() ? exitNotFound : 0;
}
