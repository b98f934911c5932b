// A load generator that sends requests at a steady rate over persistent connections and prints the latencies
// and outcomes. Rate, number of connections and duration are limited.

#include "tarragonhaven/testing/http_caller.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

ABSL_FLAG(std::vector<std::string>, nodes, {},
    "Comma-separated caller addresses of nodes; connections are assigned to them in turn.");
ABSL_FLAG(std::string, key, "", "API key of the organisation; if empty, no key is sent.");
ABSL_FLAG(std::string, method, "GET", "HTTP method of the requests.");
ABSL_FLAG(std::string, path, "/", "Path of the requests.");
ABSL_FLAG(
    double, rate, 100, "Requests per second over all connections, at most 20000; 0 sends without pauses.");
ABSL_FLAG(int, connections, 4, "Number of connections, at most 400.");
ABSL_FLAG(double, seconds, 5, "Seconds for which requests are sent, at most 600.");
ABSL_FLAG(std::string, name, "load", "Name printed at the start of each line of the report.");

namespace {

using tarragonhaven::testing::CallerRequest;
using tarragonhaven::testing::HttpCaller;
using Clock = std::chrono::steady_clock;

constexpr int maximumConnections = 400;
constexpr double maximumSeconds = 600;

struct Results {
    std::mutex mutex;
    std::vector<double> latenciesMs;
    std::map<std::string, long> outcomes;
};

std::string outcomeOf(const std::optional<tarragonhaven::testing::CallerResponse>& response)
{
    if (!response)
        return "connection failed";
    if (!response->complete)
        return "truncated response";
    const auto reason = response->field("Tarragonhaven-Refusal");
    return std::to_string(response->status) + (reason.empty() ? "" : " " + reason);
}

// Sends requests on one connection, each at its own time in a fixed schedule, so that a late response does
// not lower the rate: requests that are overdue follow at once, and latency counts from the scheduled time.
// If `interval` is 0, each request follows the response to the previous one.
void sendOnSchedule(const tarragonhaven::Endpoint& node, const CallerRequest& request,
    Clock::time_point start, double interval, Clock::time_point end, Results& results)
{
    HttpCaller caller(node);
    std::vector<double> localLatenciesMs;
    std::map<std::string, long> localOutcomes;
    for (auto scheduledTime = start; scheduledTime < end;) {
        std::this_thread::sleep_until(scheduledTime);
        const auto sent = Clock::now();
        const auto response = caller.send(request);
        const std::chrono::duration<double, std::milli> latencyMs
            = Clock::now() - (interval > 0 ? scheduledTime : sent);
        ++localOutcomes[outcomeOf(response)];
        if (response && response->status < 300)
            localLatenciesMs.push_back(latencyMs.count());
        scheduledTime = interval > 0 ? scheduledTime
                + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(interval))
                                     : Clock::now();
    }
    const std::lock_guard lock(results.mutex);
    results.latenciesMs.insert(results.latenciesMs.end(), localLatenciesMs.begin(), localLatenciesMs.end());
    for (const auto& [outcome, count] : localOutcomes)
        results.outcomes[outcome] += count;
}

double quantile(const std::vector<double>& sorted, double probability)
{
    if (sorted.empty())
        return 0;
    return sorted[std::min(
        sorted.size() - 1, static_cast<std::size_t>(probability * static_cast<double>(sorted.size())))];
}

void printReport(Results& results, double seconds)
{
    auto& values = results.latenciesMs;
    std::sort(values.begin(), values.end());
    std::printf("%s: %zu good answers, %.0f/s, p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, worst %.3f ms\n",
        absl::GetFlag(FLAGS_name).c_str(), values.size(), static_cast<double>(values.size()) / seconds,
        quantile(values, 0.5), quantile(values, 0.9), quantile(values, 0.99),
        values.empty() ? 0 : values.back());
    for (const auto& [outcome, count] : results.outcomes)
        std::printf("%s:   %8ld  %s\n", absl::GetFlag(FLAGS_name).c_str(), count, outcome.c_str());
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage("Sends requests at a steady rate and prints the latencies and outcomes.");
    absl::ParseCommandLine(argumentCount, arguments);
    std::vector<tarragonhaven::Endpoint> nodes;
    for (const auto& text : absl::GetFlag(FLAGS_nodes)) {
        if (const auto endpoint = tarragonhaven::parseEndpoint(text))
            nodes.push_back(*endpoint);
    }
    const int connections = std::clamp(absl::GetFlag(FLAGS_connections), 1, maximumConnections);
    const double seconds = std::clamp(absl::GetFlag(FLAGS_seconds), 0.1, maximumSeconds);
    const double rate = std::clamp(absl::GetFlag(FLAGS_rate), 0.0, 20000.0);
    if (nodes.empty()) {
        std::fputs(
            "nodes: no valid address given; expected a comma-separated list of address:port\n", stderr);
        return 2;
    }
    CallerRequest request { absl::GetFlag(FLAGS_method), absl::GetFlag(FLAGS_path), {}, "" };
    if (!absl::GetFlag(FLAGS_key).empty())
        request.fields.push_back({ "X-Api-Key", absl::GetFlag(FLAGS_key) });
    Results results;
    const auto start = Clock::now();
    const auto end
        = start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    const double interval = rate > 0 ? connections / rate : 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < connections; ++i) {
        const auto offset = std::chrono::duration<double>(interval * i / connections);
        threads.emplace_back([&, i, offset] {
            sendOnSchedule(nodes[static_cast<std::size_t>(i) % nodes.size()], request,
                start + std::chrono::duration_cast<Clock::duration>(offset), interval, end, results);
        });
    }
    for (auto& thread : threads)
        thread.join();
    printReport(results, seconds);
    return 0;
}
