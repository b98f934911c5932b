// Downloads pass through a node that is stopped and continued while it forwards response bodies. The entry
// nodes, which run all the while, leave these downloads without an answer long past the timeout of the route.

#include "../rig/rig.h"

#include <algorithm>
#include <csignal>

namespace {

using namespace review;

constexpr int entryCount = 3;
constexpr int guardCount = 3;
constexpr int upstreamPort = 8547;
constexpr long timeoutMs = 2000;
constexpr long deadlineMs = 4000;
// The rule looks half a second after the timeout of the route.
constexpr long ruleSlackMs = 500;
// An answer that arrives this late after the look is not counted as missed, which allows for the clocks of
// this program.
constexpr long measureSlackMs = 100;
constexpr long freezeMs = 5500;
constexpr long freezeAtMs[] = { 6000, 18000 };
constexpr long endMs = 30000;
constexpr long pauseMs = 40;
constexpr std::size_t bodyBytes = 500'000;
constexpr std::size_t pieceBytes = 10'000;
constexpr long pieceMs = 18;

struct Observation {
    std::string id;
    std::string node;
    Answer answer;
};

// Sends a large response at about 4.5 Mbit/s, in 0.9 s.
bool sendFile(Upstream& upstream, Connection& connection, const Message& request)
{
    record("upstream " + upstream.id() + " runs " + request.field("x-tarragonhaven-request-id"));
    sleepMs(50);
    const auto answer = Upstream::answer(request, 200, std::string(bodyBytes, 'x'));
    for (std::size_t at = 0; at < answer.size(); at += pieceBytes) {
        if (!upstream.alive() || !connection.write(answer.substr(at, pieceBytes)))
            return false;
        sleepMs(pieceMs);
    }
    return true;
}

class Downloads {
public:
    explicit Downloads(std::vector<std::unique_ptr<Node>>& nodes)
        : m_nodes(nodes)
    {
    }

    // Starts a download at one of the entry nodes.
    void start(std::size_t number)
    {
        m_threads.emplace_back([this, number] {
            Request request;
            request.path = "/files/f" + std::to_string(number);
            request.id = newRequestId();
            request.key = defaultKey;
            request.deadlineMs = deadlineMs;
            const auto& node = m_nodes[number % entryCount]->options();
            const auto answer = call(node.ip, request);
            record("request " + request.id + " at " + node.label + " sent at "
                + std::to_string(answer.sentAtMs) + " ms: status " + std::to_string(answer.status)
                + (answer.complete ? ", complete" : ", not complete") + " after "
                + std::to_string(answer.endedAtMs - answer.sentAtMs) + " ms");
            const std::lock_guard lock(m_mutex);
            m_observations.push_back({ request.id, node.label, answer });
        });
    }

    const std::vector<Observation>& finish()
    {
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_observations;
    }

private:
    std::vector<std::unique_ptr<Node>>& m_nodes;
    std::list<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<Observation> m_observations;
};

// Returns whether the rule holds: of the requests that are unanswered at the timeout of their route, at most
// half, or fewer than eight, are still unanswered half a second later.
bool judge(const std::vector<Observation>& observations)
{
    long late = 0;
    long missed = 0;
    long served = 0;
    for (const auto& [id, node, answer] : observations) {
        const long took = answer.endedAtMs - answer.sentAtMs;
        served += answer.complete && answer.status == 200 ? 1 : 0;
        if (took <= timeoutMs && answer.complete)
            continue;
        ++late;
        missed += !answer.complete || took > timeoutMs + ruleSlackMs + measureSlackMs ? 1 : 0;
    }
    record("RESULT " + std::to_string(observations.size()) + " downloads, " + std::to_string(served)
        + " served; unanswered at the timeout of the route: " + std::to_string(late)
        + "; of these without a final answer half a second later: " + std::to_string(missed));
    return missed < 8 || 2 * missed <= late;
}

int run(const std::string& folder)
{
    const auto network = freeNetwork();
    Store store;
    if (network.empty() || !store.start(network + ".250", 8545))
        return 2;
    ConfigOptions config;
    config.services = { "web", "files" };
    config.routes = { { "/files/", "files", "download", timeoutMs, 800, 2 },
        { "/web/", "web", "idempotent", timeoutMs, 500, 2 } };
    store.put("op/config", configValue(config));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < entryCount + guardCount; ++i) {
        const auto ip = network + "." + std::to_string(i + 1);
        const std::string service = i < entryCount ? "web" : "files";
        upstreams.push_back(std::make_unique<Upstream>(store,
            UpstreamOptions { "u" + std::to_string(i + 1), service, "centro-a", ip, upstreamPort, 16 },
            sendFile));
        nodes.push_back(
            std::make_unique<Node>(NodeOptions { "n" + std::to_string(i + 1), "centro-a", service, ip,
                                       network + ".250:8545", ip + ":" + std::to_string(upstreamPort), {} },
                folder));
        if (!upstreams.back()->start() || !nodes.back()->start())
            return 2;
    }
    for (const auto& node : nodes) {
        if (!node->awaitReady(10000))
            return 2;
    }
    const auto& frozen = *nodes.back();
    const long base = elapsedMs();
    Downloads downloads(nodes);
    bool isFrozen = false;
    for (std::size_t number = 0; elapsedMs() - base < endMs; ++number) {
        const long now = elapsedMs() - base;
        const bool freeze = !withoutTrouble()
            && std::any_of(std::begin(freezeAtMs), std::end(freezeAtMs),
                [now](long at) { return now >= at && now < at + freezeMs; });
        if (freeze != isFrozen) {
            frozen.send(freeze ? SIGSTOP : SIGCONT);
            record(frozen.options().label + (freeze ? " stands still" : " goes on"));
            isFrozen = freeze;
        }
        downloads.start(number);
        sleepMs(pauseMs);
    }
    frozen.send(SIGCONT);
    const bool held = judge(downloads.finish());
    for (auto& node : nodes)
        node.reset();
    for (auto& upstream : upstreams)
        upstream->crash();
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
