// Reads the logs of nodes and tells the way of a request and why it ended as it did.

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

ABSL_FLAG(std::string, request, "", "The id of the request; empty to count how requests ended.");
ABSL_FLAG(bool, json, false, "Write JSON.");

namespace {

constexpr int exitUsage = 2;
constexpr int exitNotFound = 1;
constexpr long linesPerProgressReport = 1'000'000;
constexpr const char* usage
    = "Tells the way of a request through a fleet, and why it ended as it did, from the nodes' logs.\n\n"
      "  tarragonhaven_explain --request=ID [--json] LOG...   the way of one request\n"
      "  tarragonhaven_explain [--json] LOG...                how requests ended, with an id for each\n\n"
      "LOG is a file with the log of one node or of several; - or none stands for the standard input.\n"
      "Exit codes: 0 told, 1 no line about the request, 2 wrong use.";

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

// Returns an empty text, or what could not be read.
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
            return path + ": cannot be read";
        readLines(input, path, handle);
    }
    return {};
}

void printSummary(const tarragonhaven::OutcomeSummary& summary, bool json)
{
    auto rows = nlohmann::ordered_json::array();
    for (const auto& [outcome, row] : summary.rows()) {
        if (!json)
            std::printf("%-44s %10llu   for example %s\n", outcome.c_str(),
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
    for (const auto& fault : util::applyEnvironment("TARRAGONHAVEN", { "request", "json" })) {
        std::fprintf(stderr, "%s: %s\n", fault.path.c_str(), fault.reason.c_str());
        return exitUsage;
    }
    const auto positional = absl::ParseCommandLine(argumentCount, arguments);
    const std::vector<std::string> files(positional.begin() + 1, positional.end());
    const auto request = absl::GetFlag(FLAGS_request);
    const bool json = absl::GetFlag(FLAGS_json);
    tarragonhaven::OutcomeSummary summary;
    tarragonhaven::RequestTraceBuilder builder(request);
    const auto error = readAll(files, [&](std::string_view line) {
        if (request.empty())
            summary.addLogLine(line);
        else
            builder.addLogLine(line);
    });
    if (!error.empty()) {
        std::fprintf(stderr, "%s\n", error.c_str());
        return exitUsage;
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
