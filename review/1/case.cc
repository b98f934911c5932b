// An upstream spoils a few of its answers: a field of 70,000 bytes follows the last chunk. The node that
// reads such an answer crashes, and with it all requests that clients of its machine have at sound upstreams.

#include "../rig/rig.h"

#include <algorithm>

namespace {

using namespace review;

constexpr int upstreamPort = 8547;
constexpr int soundCount = 3;
constexpr long timeoutMs = 2500;
constexpr long deadlineMs = 5000;
constexpr long workMs = 300;
// The disruption: one upstream spoils this share of its answers, for this long.
constexpr double spoiltShare = 0.05;
constexpr long spoilFromMs = 4000;
constexpr long spoilForMs = 5500;
constexpr std::size_t spoiltBytes = 70'000;
constexpr long restartMs = 500;
constexpr long fetchPauseMs = 25;
constexpr int keptConnections = 6;
constexpr long endMs = 16000;
// The rule allows three.
constexpr int allowedLost = 3;

// What sound upstreams have run, by the ids of requests.
class Runs {
public:
    void add(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.insert(id);
    }

    bool contains(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_runs;
};

// Answers with chunks. Spoils each twentieth answer while the disruption lasts.
class ChunkedFiles {
public:
    void setSpoiling(bool spoiling) { m_spoiling = spoiling; }

    bool serve(Connection& connection, const Message& request)
    {
        const auto id = request.field("x-tarragonhaven-request-id");
        sleepMs(20);
        const bool spoilt = m_spoiling && ++m_answers % static_cast<int>(1 / spoiltShare) == 0;
        if (spoilt)
            record("the faulty upstream spoils its answer to " + id);
        return connection.write("HTTP/1.1 200 OK\r\nX-Tarragonhaven-Request-Id: " + id
            + "\r\nX-Tarragonhaven-Response-Signature: s." + id
            + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
            + (spoilt ? "X-Check: " + std::string(spoiltBytes, 'x') + "\r\n" : "") + "\r\n");
    }

private:
    std::atomic<bool> m_spoiling { false };
    std::atomic<int> m_answers { 0 };
};

struct Lost {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    // Passed on to a sound upstream, and the connection ended without an answer.
    std::atomic<int> lost { 0 };
};

// Sends one request after another on a connection that is kept, as a client beside the node does.
void keepSending(const std::string& ip, Runs& runs, Lost& counts, const std::atomic<bool>& stopping)
{
    std::unique_ptr<Connection> connection;
    int onConnection = 0;
    while (!stopping) {
        if (!connection) {
            connection = Connection::open(ip, Node::callerPort, 500);
            onConnection = 0;
        }
        if (!connection) {
            sleepMs(100);
            continue;
        }
        const auto id = newRequestId();
        ++counts.sent;
        const long sentAt = elapsedMs();
        Message answer;
        const bool answered
            = connection->write("POST /web/form HTTP/1.1\r\nHost: h.example\r\nX-Tarragonhaven-Request-Id: "
                  + id + "\r\nX-Tarragonhaven-Request-Deadline: " + std::to_string(deadlineMs)
                  + "\r\nAuthorization: Token " + defaultKey + "\r\nContent-Length: 7\r\n\r\nchild=1")
            && connection->read(answer, Clock::now() + Milliseconds(deadlineMs)) && answer.complete;
        const bool passedOn = runs.contains(id);
        if (answered) {
            counts.served += answer.status() == 200 ? 1 : 0;
        } else {
            counts.lost += passedOn && onConnection > 0 ? 1 : 0;
            record("request " + id + " sent at " + std::to_string(sentAt) + " ms on a connection with "
                + std::to_string(onConnection) + " answers before: the connection ended without an answer"
                + (passedOn ? ", a sound upstream has run it" : ""));
        }
        ++onConnection;
        if (!answered || answer.field("connection") == "close")
            connection.reset();
        sleepMs(20);
    }
}

void fetch(const std::string& ip, const std::atomic<bool>& stopping)
{
    while (!stopping) {
        Request request;
        request.path = "/files/f";
        request.id = newRequestId();
        request.key = defaultKey;
        request.deadlineMs = deadlineMs;
        const auto answer = call(ip, request);
        if (answer.status != 200)
            record("fetch " + request.id + ": status " + std::to_string(answer.status));
        sleepMs(fetchPauseMs);
    }
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
        { "/web/", "web", "non_idempotent", timeoutMs, 800, 2 } };
    store.put("op/config", configValue(config));
    Runs runs;
    ChunkedFiles files;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i <= soundCount; ++i) {
        const auto ip = network + "." + std::to_string(i + 1);
        const auto number = std::to_string(i + 1);
        const std::string service = i < soundCount ? "web" : "files";
        upstreams.push_back(std::make_unique<Upstream>(store,
            UpstreamOptions { "u" + number, service, "centro-a", ip, upstreamPort, 10 },
            [&](Upstream& upstream, Connection& connection, const Message& request) {
                if (upstream.options().service == "files")
                    return files.serve(connection, request);
                runs.add(request.field("x-tarragonhaven-request-id"));
                sleepMs(workMs);
                return connection.write(Upstream::answer(request, 200, "done"));
            }));
        nodes.push_back(
            std::make_unique<Node>(NodeOptions { "n" + number, "centro-a", service, ip, network + ".250:8545",
                                       ip + ":" + std::to_string(upstreamPort), {} },
                folder));
        if (!upstreams.back()->start() || !nodes.back()->start())
            return 2;
    }
    for (const auto& node : nodes) {
        if (!node->awaitReady(10000))
            return 2;
    }
    auto& node = *nodes.back();
    std::atomic<bool> stopping { false };
    Lost counts;
    std::vector<std::thread> clients;
    for (int i = 0; i < keptConnections; ++i)
        clients.emplace_back([&] { keepSending(node.options().ip, runs, counts, stopping); });
    clients.emplace_back([&] { fetch(nodes.front()->options().ip, stopping); });
    const long base = elapsedMs();
    int ends = 0;
    while (elapsedMs() - base < endMs) {
        const long now = elapsedMs() - base;
        files.setSpoiling(!withoutTrouble() && now >= spoilFromMs && now < spoilFromMs + spoilForMs);
        int status = 0;
        if (node.ended(status)) {
            ++ends;
            record("the process of " + node.options().label + " has ended by itself, wait status "
                + std::to_string(status));
            sleepMs(restartMs);
            node.start();
        }
        sleepMs(10);
    }
    stopping = true;
    for (auto& client : clients)
        client.join();
    record("RESULT the process ended by itself " + std::to_string(ends)
        + " times; requests on kept connections: sent " + std::to_string(counts.sent) + ", served "
        + std::to_string(counts.served) + ", passed on to a sound upstream and closed without an answer "
        + std::to_string(counts.lost));
    for (auto& each : nodes)
        each.reset();
    for (auto& upstream : upstreams)
        upstream->crash();
    store.stop();
    return counts.lost > allowedLost ? 1 : 0;
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
