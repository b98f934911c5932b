// A node is stopped twice: in turn with the others, and because the upstream beside it has been taken away.

#include "../rig-2/rig.h"

#include <csignal>
#include <cstdio>
#include <set>

namespace {

using namespace rig;

constexpr std::size_t machines = 6;
constexpr auto warmUp = std::chrono::seconds(4);
// How long the upstream serves after it has reported that it is draining.
constexpr Milliseconds drainTime { 3000 };
// The time between the two signals, within the grace period of 6 s.
constexpr Milliseconds betweenSignals { 1200 };
constexpr Milliseconds work { 700 };
constexpr Milliseconds gap { 60 };
constexpr int deadlineMs = 5000;
constexpr auto trafficAfterStop = std::chrono::seconds(2);

struct Attempt {
    std::string id;
    int status = 0;
    bool complete = false;
    // Whether the connection was established and the request sent.
    bool sent = false;
};

Attempt sendOne(Deployment& deployment, Record& record)
{
    Attempt attempt;
    attempt.id = newId();
    Connection connection;
    if (!connection.connect(deployment.node(0).outbound(), deployment.ip(0)))
        return attempt;
    attempt.sent = connection.send(clientRequest("POST", "/puka111/2f", attempt.id, deadlineMs, "chest=12"));
    record.write("sent id=" + attempt.id);
    const auto answer = connection.read(Milliseconds(deadlineMs), true);
    attempt.status = answer ? answer->status() : 0;
    attempt.complete = answer && answer->complete;
    record.write("answered id=" + attempt.id + " status=" + std::to_string(attempt.status)
        + (attempt.complete ? "" : " (the connection ended without a complete answer)"));
    return attempt;
}

// The upstream beside machine 0 drains and exits, and the node is stopped in turn meanwhile. If wanted, the
// node then gets the SIGTERM that follows the end of its upstream.
void disturb(Deployment& deployment, Record& record, Clock::time_point stopAt, bool trouble)
{
    std::this_thread::sleep_until(stopAt + betweenSignals - drainTime);
    record.write("the upstream beside machine 0 reports that it is draining");
    deployment.announceDraining(0);
    std::this_thread::sleep_until(stopAt);
    record.write("SIGTERM to machine 0, which is stopped in turn");
    deployment.node(0).signal(SIGTERM);
    std::this_thread::sleep_until(stopAt + betweenSignals);
    record.write("the upstream beside machine 0 has ended");
    deployment.removeEntry(0);
    deployment.upstream(0).end();
    if (!trouble)
        return;
    record.write("SIGTERM to machine 0, whose upstream has ended");
    deployment.node(0).signal(SIGTERM);
}

} // namespace

int main(int count, char** arguments)
{
    const std::string folder = count > 1 ? arguments[1] : ".";
    Record record(folder + "/record.txt");
    const bool trouble = troubleWanted();
    Deployment deployment(std::vector<std::string>(machines, "bookings"), 5, record, [](const Message&) {
        Plan plan;
        plan.work = work;
        return plan;
    });
    if (!deployment.start(makeConfig(7, { { "/puka111/", "bookings" } }))) {
        record.write("the nodes did not become ready");
        return 2;
    }
    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::thread> clients;
    const auto stopAt = Clock::now() + warmUp;
    std::thread disturbance([&] { disturb(deployment, record, stopAt, trouble); });
    while (Clock::now() < stopAt + trafficAfterStop) {
        clients.emplace_back([&] {
            const auto attempt = sendOne(deployment, record);
            const std::scoped_lock lock(mutex);
            attempts.push_back(attempt);
        });
        std::this_thread::sleep_for(gap);
    }
    for (auto& client : clients)
        client.join();
    disturbance.join();
    const auto runs = deployment.runs();
    int served = 0;
    int lost = 0;
    for (const auto& attempt : attempts) {
        served += attempt.status == 200 && attempt.complete ? 1 : 0;
        if (!attempt.sent || attempt.complete || !runs.contains(attempt.id))
            continue;
        ++lost;
        record.write("LOST id=" + attempt.id + " was passed on to " + runs.at(attempt.id).front().upstream);
    }
    const auto summary = "requests " + std::to_string(attempts.size()) + ", served " + std::to_string(served)
        + ", passed on and ended without an answer " + std::to_string(lost);
    record.write(summary);
    std::printf("%s\n", summary.c_str());
    if (served == 0)
        return 2;
    return lost > 0 ? 1 : 0;
}
