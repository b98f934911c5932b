#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

// What the scripts of the second review share: a store, upstreams, clients and node processes on loopback
// addresses. Written from the users' pages; uses sockets and threads only.
namespace rig {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

// Writes record.txt. Each line begins with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
    // The request line or the status line.
    std::string startLine;
    Fields fields;
    std::string body;
    // False if the message ended early.
    bool complete = false;

    // Returns the value of a field whose name is compared without regard to case; empty if there is none.
    [[nodiscard]] std::string field(const std::string& name) const;
    // Returns the second word of the start line as a number: the status of a response.
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

// A TCP connection with a buffer of received bytes.
class Connection {
public:
    explicit Connection(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Connects from the given local IP address. Returns whether it succeeded within a second.
    bool connect(const Address& to, const std::string& fromIp);
    bool send(const std::string& bytes);
    // Reads a message. Returns nothing if the connection ended, failed or timed out before its head.
    std::optional<Message> read(Milliseconds timeout, bool isResponse, bool withoutBody = false);
    // Returns whether the peer has closed the connection.
    [[nodiscard]] bool closedByPeer() const;
    void close();
    // Ends the connection with a reset.
    void reset();
    // Ends both directions, so that a read in another thread returns.
    void shutdown();

private:
    bool fill(Clock::time_point until);
    bool readChunks(std::string& body, Clock::time_point until);

    int m_descriptor;
    std::string m_buffer;
};

// Accepts connections and serves each on a thread of its own, until it is destroyed.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(const Address& address, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

private:
    void accept();

    int m_listener;
    Handler m_handler;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// The platform's store: ranges and watches.
class Store {
public:
    explicit Store(const Address& address);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value;
    };

    void serve(Connection& connection);
    std::string range(const std::string& query);
    std::string watch(const std::string& query);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Event> m_items;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 100;
    bool m_stopping = false;
    std::unique_ptr<Server> m_server;
};

struct UpstreamOptions {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    int slots = 5;
};

// A run of a request at an upstream.
struct Run {
    std::string requestId;
    std::string upstream;
    Clock::time_point at;
};

// What an upstream does with one request that it runs.
struct Plan {
    Milliseconds work { 100 };
    // The complete response; if empty, status 200 with the signature and a small body.
    std::function<void(Connection&, const Message&)> respond;
};

// An upstream that runs up to `slots` requests at once and rejects the others with the header field that says
// so. Ids other than its own in the field for the expected instance get status 421.
class Upstream {
public:
    using Planner = std::function<Plan(const Message&)>;

    Upstream(const Address& address, UpstreamOptions options, Record& record, Planner planner);
    ~Upstream() = default;
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    [[nodiscard]] std::vector<Run> runs();
    // Returns the requests that it gave up because their connection ended while it ran them.
    [[nodiscard]] std::set<std::string> cutRuns();
    // Exits: closes its listener and its connections.
    void end() { m_server.reset(); }
    [[nodiscard]] int running() const { return m_running.load(); }
    // The entry that it writes to the store.
    [[nodiscard]] std::string entry(int sequence, bool draining = false) const;
    [[nodiscard]] const UpstreamOptions& options() const { return m_options; }

private:
    void serve(Connection& connection);
    bool handle(Connection& connection, const Message& request);

    Address m_address;
    UpstreamOptions m_options;
    Record& m_record;
    Planner m_planner;
    std::atomic<int> m_running { 0 };
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::set<std::string> m_cutRuns;
    std::int64_t m_bornMs;
    std::unique_ptr<Server> m_server;
};

// Returns a response of an upstream, with the fields that the platform requires of it.
std::string upstreamResponse(
    const Message& request, int status, const std::string& body, const Fields& more = {});

// The ports that all machines of a deployment use.
struct Ports {
    std::uint16_t upstream = 0;
    std::uint16_t outbound = 0;
    std::uint16_t ready = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
    std::uint16_t store = 0;
};

// A node process beside one upstream, started with the command of the deploy file.
class Node {
public:
    struct Options {
        std::string name;
        std::string ip;
        std::string service;
        std::string zone = "zone-a";
        Ports ports;
        Address store;
        std::string folder;
    };

    explicit Node(Options options);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void signal(int number) const;
    // Returns the wait status if the process has ended.
    std::optional<int> ended();
    bool awaitReady(Milliseconds timeout);
    [[nodiscard]] Address outbound() const { return { m_options.ip, m_options.ports.outbound }; }

private:
    Options m_options;
    pid_t m_process = 0;
    std::optional<int> m_status;
};

// A deployment of one node for each upstream, in one zone.
class Deployment {
public:
    // `services` has the service of each machine.
    Deployment(
        const std::vector<std::string>& services, int slots, Record& record, Upstream::Planner planner);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Writes the configuration and starts all nodes. Returns whether all became ready.
    bool start(const std::string& config);
    [[nodiscard]] Node& node(std::size_t index) { return *m_nodes.at(index); }
    [[nodiscard]] Upstream& upstream(std::size_t index) { return *m_upstreams.at(index); }
    [[nodiscard]] std::size_t size() const { return m_upstreams.size(); }
    [[nodiscard]] std::string ip(std::size_t index) const;
    // Returns all runs so far, by request id.
    std::map<std::string, std::vector<Run>> runs();
    std::set<std::string> cutRuns();
    Store& store() { return *m_store; }
    // Removes the entry of an upstream for good, which goes on serving.
    void removeEntry(std::size_t index);
    // Makes an upstream report that it is draining.
    void announceDraining(std::size_t index);

private:
    std::string m_network;
    std::string m_folder;
    Ports m_ports;
    std::vector<std::string> m_services;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::mutex m_mutex;
    std::set<std::size_t> m_removed;
    std::set<std::size_t> m_draining;
    std::thread m_heartbeats;
    std::atomic<bool> m_stopping { false };
};

struct RouteOptions {
    std::string prefix;
    std::string service;
    bool idempotent = false;
    int timeoutMs = 2500;
    int attempts = 2;
};

// Returns a configuration with one host, one tenant with one key, and the routes.
std::string makeConfig(int version, const std::vector<RouteOptions>& routes);
inline constexpr const char* host = "hulo84.example";
inline constexpr const char* key = "6wsjnbanfqasnmgkcuyj";

// Returns the bytes of a client's request.
std::string clientRequest(const std::string& method, const std::string& target, const std::string& id,
    int deadlineMs, const std::string& body = {});
// Returns a new request id.
std::string newId();

// Returns whether the case is to be run with its disruption: TROUBLE is not 0.
bool troubleWanted();

} // namespace rig
