// A gray upstream fails a part of its requests with status 503 after it has run them.

#include "../rig-2/rig.h"

#include <cstdio>
#include <set>

namespace {

using namespace rig;

constexpr std::size_t machines = 8;
constexpr std::size_t grayMachine = 3;
constexpr int failedOfTen = 4;
constexpr auto trafficTime = std::chrono::seconds(10);
constexpr auto grayFrom = std::chrono::seconds(2);
constexpr auto grayTo = std::chrono::seconds(7);
constexpr Milliseconds gap { 25 };
constexpr int deadlineMs = 5000;

bool isPromise(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    Record record(folder + "/record.txt");
    const bool trouble = troubleWanted();
    std::atomic<Clock::rep> trafficStart { 0 };
    std::atomic<int> grayRuns { 0 };
    const auto planner = [&](const Message& request) {
        Plan plan;
        const auto since = Clock::now() - Clock::time_point(Clock::duration(trafficStart.load()));
        const bool gray = trouble && since >= grayFrom && since < grayTo
            && request.field("X-Tarragonhaven-Expected-Instance") == "i-" + std::to_string(grayMachine);
        if (gray && ++grayRuns % 10 < failedOfTen)
            plan.respond = [](Connection& connection, const Message& failed) {
                connection.send(upstreamResponse(failed, 503, "failed"));
            };
        return plan;
    };
    Deployment deployment(std::vector<std::string>(machines, "bookings"), 5, record, planner);
    if (!deployment.start(makeConfig(7, { { "/puka111/", "bookings" } }))) {
        record.write("the nodes did not become ready");
        return 2;
    }
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::vector<std::thread> clients;
    trafficStart = Clock::now().time_since_epoch().count();
    const auto end = Clock::now() + trafficTime;
    for (std::size_t number = 0; Clock::now() < end; ++number) {
        clients.emplace_back([&, number] {
            const auto machine = number % machines;
            const auto id = newId();
            Connection connection;
            if (!connection.connect(deployment.node(machine).outbound(), deployment.ip(machine)))
                return;
            record.write("sent id=" + id + " machine=" + std::to_string(machine));
            connection.send(clientRequest("POST", "/puka111/2f", id, deadlineMs, "chest=12"));
            const auto answer = connection.read(Milliseconds(deadlineMs), true);
            const int status = answer ? answer->status() : 0;
            record.write("answered id=" + id + " status=" + std::to_string(status)
                + " refusal=" + (answer ? answer->field("Tarragonhaven-Refusal") : ""));
            const std::scoped_lock lock(mutex);
            answers[id] = status;
        });
        std::this_thread::sleep_for(gap);
    }
    for (auto& client : clients)
        client.join();
    const auto runs = deployment.runs();
    int promisedAndRun = 0;
    int twice = 0;
    int served = 0;
    for (const auto& [id, status] : answers) {
        served += status == 200 ? 1 : 0;
        const auto found = runs.find(id);
        if (found == runs.end())
            continue;
        twice += found->second.size() > 1 ? 1 : 0;
        if (!isPromise(status))
            continue;
        ++promisedAndRun;
        record.write("REFUSED id=" + id + " status=" + std::to_string(status) + " ran at "
            + found->second.front().upstream);
    }
    const auto summary = "requests " + std::to_string(answers.size()) + ", served " + std::to_string(served)
        + ", answered 429 or 503 though run " + std::to_string(promisedAndRun) + ", run twice "
        + std::to_string(twice);
    record.write(summary);
    std::printf("%s\n", summary.c_str());
    if (served == 0)
        return 2;
    return promisedAndRun + twice > 0 ? 1 : 0;
}
