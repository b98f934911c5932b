// Two machines are stopped in turn. The upstream beside the first leaves meanwhile: its entry is removed, and
// it goes on serving.

#include "../rig-2/rig.h"

#include <csignal>
#include <cstdio>

namespace {

using namespace rig;

// The machines that are stopped: the upstream of the first runs requests that the second takes from clients.
constexpr std::size_t guardMachine = 0;
constexpr std::size_t entryMachine = 3;
constexpr Milliseconds stopEntryAfter { 1000 };
constexpr Milliseconds removeEntryAfter { 2300 };
constexpr Milliseconds endAfter { 3500 };
constexpr Milliseconds work { 900 };
constexpr Milliseconds gap { 100 };
constexpr int deadlineMs = 5000;

struct Attempt {
    std::string id;
    std::optional<Message> answer;
};

Attempt sendOne(Deployment& deployment, Record& record)
{
    Attempt attempt;
    Connection connection;
    if (!connection.connect(deployment.node(entryMachine).outbound(), deployment.ip(entryMachine)))
        return attempt;
    attempt.id = newId();
    record.write("sent id=" + attempt.id + " machine=" + std::to_string(entryMachine));
    connection.send(clientRequest("POST", "/puka111/2f", attempt.id, deadlineMs, "chest=12"));
    attempt.answer = connection.read(Milliseconds(deadlineMs), true);
    record.write("answered id=" + attempt.id
        + " status=" + std::to_string(attempt.answer ? attempt.answer->status() : 0)
        + (attempt.answer ? " refusal=" + attempt.answer->field("Tarragonhaven-Refusal") : ""));
    return attempt;
}

// Stops both machines in turn and, if wanted, removes the entry of the upstream beside the first.
void disturb(Deployment& deployment, Record& record, bool trouble)
{
    record.write("SIGTERM to machine " + std::to_string(guardMachine));
    deployment.node(guardMachine).signal(SIGTERM);
    std::this_thread::sleep_for(stopEntryAfter);
    record.write("SIGTERM to machine " + std::to_string(entryMachine));
    deployment.node(entryMachine).signal(SIGTERM);
    std::this_thread::sleep_for(removeEntryAfter - stopEntryAfter);
    if (!trouble)
        return;
    record.write("the entry of the upstream beside machine " + std::to_string(guardMachine) + " is removed");
    deployment.removeEntry(guardMachine);
}

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    Record record(folder + "/record.txt");
    const auto planner = [](const Message&) {
        Plan plan;
        plan.work = work;
        return plan;
    };
    Deployment deployment(
        { "bookings", "bookings", "catalogue", "catalogue", "catalogue", "catalogue" }, 5, record, planner);
    if (!deployment.start(makeConfig(7, { { "/puka111/", "bookings" } }))) {
        record.write("the nodes did not become ready");
        return 2;
    }
    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::thread> clients;
    const auto start = Clock::now();
    std::thread disturbance([&] { disturb(deployment, record, troubleWanted()); });
    while (Clock::now() < start + endAfter) {
        clients.emplace_back([&] {
            auto attempt = sendOne(deployment, record);
            const std::scoped_lock lock(mutex);
            if (!attempt.id.empty())
                attempts.push_back(std::move(attempt));
        });
        std::this_thread::sleep_for(gap);
    }
    for (auto& client : clients)
        client.join();
    disturbance.join();
    const auto cutRuns = deployment.cutRuns();
    int served = 0;
    int lost = 0;
    for (const auto& [id, answer] : attempts) {
        served += answer && answer->status() == 200 ? 1 : 0;
        if (!cutRuns.contains(id))
            continue;
        ++lost;
        record.write("LOST id=" + id + " was broken off while its upstream was at work");
    }
    const auto summary = "requests " + std::to_string(attempts.size()) + ", served " + std::to_string(served)
        + ", broken off while their upstream was at work " + std::to_string(lost);
    record.write(summary);
    std::printf("%s\n", summary.c_str());
    if (served == 0)
        return 2;
    return lost > 0 ? 1 : 0;
}
