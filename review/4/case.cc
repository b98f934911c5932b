// A request that crashes each upstream that begins to run it comes again and again, at any machine. The nodes
// pass it on each time, and other requests that the upstreams run are lost with them.

#include "../rig/rig.h"

#include <algorithm>

namespace {

using namespace review;

constexpr int machineCount = 8;
constexpr int upstreamPort = 8547;
constexpr int concurrency = 5;
constexpr long timeoutMs = 2500;
constexpr long deadlineMs = 5000;
constexpr long workMs = 300;
constexpr long contactMs = 3000;
// How long an upstream is down after a crash, and how long its entry stays: three heartbeats of 1.5 s.
constexpr long downMs = 3000;
constexpr long entryMs = 4500;
constexpr long crashingPauseMs = 3000;
constexpr long requestPauseMs = 100;
constexpr long endMs = 45000;
constexpr int allowedRetries = 3;
constexpr const char* crashingPath = "/enroll/form-7";

struct Arrival {
    std::string id;
    long atMs = 0;
};

// What upstreams have run, by the ids of requests.
class Runs {
public:
    void add(const std::string& id, bool crashing)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.insert(id);
        if (crashing)
            m_crashes.push_back({ id, elapsedMs() });
    }

    std::set<std::string> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    std::vector<Arrival> crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_runs;
    std::vector<Arrival> m_crashes;
};

// An upstream with the thread that crashes it and starts it again.
class Machine {
public:
    Machine(Store& store, const UpstreamOptions& options, Runs& runs)
        : m_store(store)
        , m_upstream(store, options,
              [this, &runs](Upstream& upstream, Connection& connection, const Message& request) {
                  return serve(upstream, connection, request, runs);
              })
    {
    }

    bool start()
    {
        if (!m_upstream.start())
            return false;
        m_thread = std::thread([this] { watch(); });
        return true;
    }

    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
        m_upstream.crash();
    }

private:
    bool serve(Upstream& upstream, Connection& connection, const Message& request, Runs& runs)
    {
        const auto id = request.field("x-tarragonhaven-request-id");
        const bool crashing = !withoutTrouble() && request.target() == crashingPath;
        runs.add(id, crashing);
        record("upstream " + upstream.id() + " runs " + id + (crashing ? " and crashes" : ""));
        if (crashing) {
            m_crash = true;
            return false;
        }
        const auto end = Clock::now() + Milliseconds(workMs);
        while (Clock::now() < end) {
            if (m_crash || !upstream.alive())
                return false;
            sleepMs(5);
        }
        return connection.write(Upstream::answer(request, 200, "done " + id));
    }

    // Crashes the upstream and starts it again. Its entry is removed after three silent heartbeats.
    void watch()
    {
        while (!m_stopping) {
            sleepMs(2);
            if (!m_crash)
                continue;
            const auto crashedAt = elapsedMs();
            const auto entry = m_upstream.id();
            m_upstream.crash();
            while (!m_stopping && elapsedMs() - crashedAt < entryMs) {
                sleepMs(10);
                if (m_crash && elapsedMs() - crashedAt >= downMs) {
                    m_crash = false;
                    m_upstream.start();
                }
            }
            m_store.remove("servers/" + entry);
        }
    }

    Store& m_store;
    Upstream m_upstream;
    std::atomic<bool> m_crash { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

struct Sent {
    std::string id;
    bool crashing = false;
    Answer answer;
};

class Clients {
public:
    explicit Clients(std::vector<std::unique_ptr<Node>>& nodes)
        : m_nodes(nodes)
    {
    }

    void start(std::size_t machine, bool crashing)
    {
        m_threads.emplace_back([this, machine, crashing] {
            Request request;
            request.method = "POST";
            request.path = crashing ? crashingPath : "/enroll/form-1";
            request.body = "child=1";
            request.id = newRequestId();
            request.key = defaultKey;
            request.deadlineMs = deadlineMs;
            const auto& node = m_nodes[machine % machineCount]->options();
            const auto answer = call(node.ip, request);
            record("request " + request.id + (crashing ? " (crashing)" : "") + " at " + node.label
                + " sent at " + std::to_string(answer.sentAtMs) + " ms: status "
                + std::to_string(answer.status) + " after "
                + std::to_string(answer.endedAtMs - answer.sentAtMs) + " ms");
            const std::lock_guard lock(m_mutex);
            m_sent.push_back({ request.id, crashing, answer });
        });
    }

    const std::vector<Sent>& finish()
    {
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_sent;
    }

private:
    std::vector<std::unique_ptr<Node>>& m_nodes;
    std::list<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<Sent> m_sent;
};

// Returns whether the rule holds: the request reaches upstreams in at most three of the retries that are sent
// later than `contactMs` after it has crashed the third upstream.
bool judge(const std::vector<Sent>& sent, Runs& runs)
{
    const auto crashes = runs.crashes();
    const auto all = runs.all();
    const long from = crashes.size() < 3 ? endMs * 2 : crashes[2].atMs + contactMs;
    int retries = 0;
    int reached = 0;
    int lost = 0;
    for (const auto& [id, crashing, answer] : sent) {
        const bool ran = all.contains(id);
        if (crashing && answer.sentAtMs > from) {
            ++retries;
            reached += ran ? 1 : 0;
        }
        lost += !crashing && ran && answer.status != 200 ? 1 : 0;
    }
    record("RESULT upstreams crashed " + std::to_string(crashes.size()) + " times; sent "
        + std::to_string(contactMs) + " ms and more after the third crash: " + std::to_string(retries)
        + " retries, of which " + std::to_string(reached)
        + " reached an upstream; other requests that ran and got no success: " + std::to_string(lost) + " of "
        + std::to_string(sent.size()));
    return reached <= allowedRetries;
}

int run(const std::string& folder)
{
    const auto network = freeNetwork();
    Store store;
    if (network.empty() || !store.start(network + ".250", 8545))
        return 2;
    ConfigOptions config;
    config.services = { "enroll" };
    config.routes = { { "/enroll/", "enroll", "non_idempotent", timeoutMs, 800, 2 } };
    store.put("op/config", configValue(config));
    Runs runs;
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < machineCount; ++i) {
        const auto ip = network + "." + std::to_string(i + 1);
        const auto number = std::to_string(i + 1);
        machines.push_back(std::make_unique<Machine>(store,
            UpstreamOptions { "u" + number, "enroll", "centro-a", ip, upstreamPort, concurrency }, runs));
        nodes.push_back(
            std::make_unique<Node>(NodeOptions { "n" + number, "centro-a", "enroll", ip,
                                       network + ".250:8545", ip + ":" + std::to_string(upstreamPort), {} },
                folder));
        if (!machines.back()->start() || !nodes.back()->start())
            return 2;
    }
    for (const auto& node : nodes) {
        if (!node->awaitReady(10000))
            return 2;
    }
    Clients clients(nodes);
    const long base = elapsedMs();
    long nextCrashing = base + 2000;
    std::size_t crashing = 0;
    for (std::size_t number = 0; elapsedMs() - base < endMs; ++number) {
        clients.start(number, false);
        if (elapsedMs() >= nextCrashing) {
            clients.start(3 * crashing++, true);
            nextCrashing += crashingPauseMs;
        }
        sleepMs(requestPauseMs);
    }
    const bool held = judge(clients.finish(), runs);
    for (auto& node : nodes)
        node.reset();
    for (auto& machine : machines)
        machine->stop();
    store.stop();
    return held ? 0 : 1;
}

} // namespace

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    const auto folder = temporaryFolder();
    const int result = run(folder);
    record("exit " + std::to_string(result));
    removeFolder(folder);
    return result;
}
