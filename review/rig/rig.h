#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the platform's store, upstreams and clients, and the nodes as separate processes, for the
// cases of the review. Everything listens on loopback addresses of a network 127.A.B.0/24 that is free when a
// case starts.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Milliseconds since the start of the case.
long elapsedMs();
void sleepMs(long milliseconds);

// Appends a line to the record of the case, with the time. May be called from any thread.
void openRecord(const std::string& path);
void record(const std::string& line);

// A message of HTTP/1.1. Names of fields are in lower case.
struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false;

    [[nodiscard]] std::string field(const std::string& name) const;
    // The parts of the start line of a request, and the status in that of a response.
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

// A blocking TCP connection.
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Returns nothing if the connection is not open within the time.
    static std::unique_ptr<Connection> open(const std::string& ip, int port, long timeoutMs);
    bool write(const std::string& bytes);
    // Reads a message with its body. Returns whether its head has arrived before the deadline.
    bool read(Message& message, Clock::time_point deadline, bool headRequest = false);
    // Whether the peer has closed the connection.
    [[nodiscard]] bool closedByPeer() const;
    void shutdown() const;
    // Closes the connection with a reset.
    void reset();

private:
    bool fill(Clock::time_point deadline);
    bool readLine(std::string& line, Clock::time_point deadline);
    bool readBytes(std::string& bytes, std::size_t count, Clock::time_point deadline);
    bool readBody(Message& message, Clock::time_point deadline, bool headRequest);

    int m_descriptor;
    std::string m_buffer;
    bool m_ended = false;
};

// Accepts connections and serves each on a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server() = default;
    ~Server() { stop(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    bool start(const std::string& ip, int port, Handler handler);
    // Closes the listener and all connections, and waits for their threads.
    void stop();

private:
    void accept();

    int m_descriptor = -1;
    std::atomic<bool> m_stopping { false };
    Handler m_handler;
    std::thread m_thread;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    std::list<std::thread> m_threads;
};

// The platform's store, as its page describes it: ranges, watches, nothing else.
class Store {
public:
    bool start(const std::string& ip, int port);
    void stop();
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Event {
        std::string key;
        std::string value;
        long revision = 0;
        bool deleted = false;
    };
    void serve(Connection& connection);
    std::string range(const std::string& prefix, const std::string& after);
    std::string watch(const std::string& prefix, long after, long waitMs);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Event> m_items;
    std::vector<Event> m_events;
    long m_revision = 1;
    std::atomic<bool> m_stopping { false };
    Server m_server;
};

struct UpstreamOptions {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int port = 0;
    int concurrency = 4;
};

// An upstream that registers itself, limits what it runs at once, and answers 421 to requests for others.
class Upstream {
public:
    // Runs a request that has a slot and returns whether the connection is kept.
    using Run = std::function<bool(Upstream&, Connection&, const Message&)>;

    Upstream(Store& store, UpstreamOptions options, Run run);
    ~Upstream() { crash(); }
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    // Starts a new incarnation with a new id.
    bool start();
    // Ends as a killed process does: all connections end, and the entry stays until removeEntry().
    void crash();
    void removeEntry();
    [[nodiscard]] const UpstreamOptions& options() const { return m_options; }
    [[nodiscard]] std::string id() const;
    [[nodiscard]] int running() const { return m_running.load(); }
    // Whether the incarnation that a request began in still runs.
    [[nodiscard]] bool alive() const { return !m_stopping.load(); }
    // Answers with a signature, the request's id and a body.
    static std::string answer(const Message& request, int status, const std::string& body);

private:
    void serve(Connection& connection);
    void beat();
    void writeEntry();

    Store& m_store;
    UpstreamOptions m_options;
    Run m_run;
    mutable std::mutex m_mutex;
    int m_incarnation = 0;
    long m_sequence = 0;
    long long m_born = 0;
    std::atomic<int> m_running { 0 };
    std::atomic<bool> m_stopping { true };
    std::unique_ptr<Server> m_server;
    std::thread m_beatThread;
};

struct NodeOptions {
    std::string label;
    std::string zone;
    std::string service;
    std::string ip;
    std::string storeAddress;
    std::string targetAddress;
    // Settings that replace those of the defaults, by their names in the platform's settings.
    std::map<std::string, std::string> bounds;
};

// A node as a process, started with the command of the deploy file and the platform's settings.
class Node {
public:
    static constexpr int callerPort = 8548;
    static constexpr int readyPort = 8546;

    Node(NodeOptions options, std::string folder);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    bool start();
    void send(int signal) const;
    bool awaitReady(long timeoutMs) const;
    // Returns whether the process has ended, and how.
    bool ended(int& status);
    [[nodiscard]] const NodeOptions& options() const { return m_options; }

private:
    NodeOptions m_options;
    std::string m_folder;
    pid_t m_process = -1;
    int m_status = 0;
};

struct Request {
    std::string method = "GET";
    std::string host = "h.example";
    std::string path = "/";
    std::string id;
    std::string key;
    long deadlineMs = 4000;
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
};

struct Answer {
    // 0 if there is no answer.
    int status = 0;
    // Whether the answer has arrived completely.
    bool complete = false;
    bool connected = false;
    Message message;
    long sentAtMs = 0;
    long endedAtMs = 0;
};

// Sends a request on a new connection and waits for its answer until the deadline of the request plus
// `patienceMs`.
Answer call(const std::string& ip, const Request& request, long patienceMs = 0);
std::string newRequestId();

// A free network, such as "127.91.7".
std::string freeNetwork();
std::string temporaryFolder();
void removeFolder(const std::string& folder);
// Whether the case runs without its disruption (TROUBLE=0).
bool withoutTrouble();

struct RouteOptions {
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    long timeoutMs = 2000;
    long latencyMs = 500;
    int attempts = 2;
};

struct TenantOptions {
    std::string name;
    std::vector<std::string> keys;
};

inline const std::string defaultKey = "6wsjnbanfqasnmgkcuyj";

struct ConfigOptions {
    int version = 1;
    std::string host = "h.example";
    std::vector<TenantOptions> tenants { { "t1", { defaultKey } } };
    std::vector<RouteOptions> routes;
    std::vector<std::string> services;
    long maxHeaderBytes = 16384;
};

std::string configValue(const ConfigOptions& options);

} // namespace review
