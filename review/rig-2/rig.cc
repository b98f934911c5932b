#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

    constexpr const char* requestIdField = "X-Tarragonhaven-Request-Id";
    constexpr const char* program = "target/tarragonhaven_sidecar";
    constexpr Milliseconds heartbeat { 1500 };
    constexpr int drainingSequence = 1000;

    sockaddr_in toSocketAddress(const Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    int listenAt(const Address& address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto to = toSocketAddress(address);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0
            || listen(descriptor, 512) != 0) {
            ::close(descriptor);
            return -1;
        }
        return descriptor;
    }

    bool isFree(const Address& address)
    {
        const int descriptor = listenAt(address);
        if (descriptor < 0)
            return false;
        ::close(descriptor);
        return true;
    }

    bool sameText(const std::string& left, const std::string& right)
    {
        return left.size() == right.size()
            && std::equal(left.begin(), left.end(), right.begin(),
                [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    std::string trimmed(const std::string& text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    std::string word(const std::string& line, int index)
    {
        std::istringstream stream(line);
        std::string result;
        for (int i = 0; i <= index; ++i)
            stream >> result;
        return result;
    }

    std::string base64(const std::string& bytes)
    {
        static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j) {
                const auto digit = group >> (18U - 6U * j) & 63U;
                result += i + j <= bytes.size() ? digits[digit] : '=';
            }
        }
        return result;
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        const auto question = target.find('?');
        if (question == std::string::npos)
            return {};
        std::istringstream stream(target.substr(question + 1));
        for (std::string item; std::getline(stream, item, '&');) {
            if (item.rfind(name + "=", 0) == 0)
                return item.substr(name.size() + 1);
        }
        return {};
    }

    std::string jsonResponse(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    std::mt19937_64& generator()
    {
        static std::mt19937_64 random { std::random_device {}() };
        return random;
    }

} // namespace

void Record::write(const std::string& line)
{
    const std::scoped_lock lock(m_mutex);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
    m_file << elapsed << " " << line << std::endl;
}

std::string Message::field(const std::string& name) const
{
    for (const auto& [fieldName, value] : fields) {
        if (sameText(fieldName, name))
            return value;
    }
    return {};
}

int Message::status() const { return std::atoi(word(startLine, 1).c_str()); }

std::string Message::method() const { return word(startLine, 0); }

std::string Message::target() const { return word(startLine, 1); }

bool Connection::connect(const Address& to, const std::string& fromIp)
{
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto from = toSocketAddress({ fromIp, 0 });
    if (bind(m_descriptor, reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0)
        return false;
    const timeval limit { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = toSocketAddress(to);
    return ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

bool Connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return false;
    std::array<char, 16384> bytes {};
    const auto count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool Connection::readChunks(std::string& body, Clock::time_point until)
{
    while (true) {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        const auto length = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < end + 2 + length + 2) {
            if (!fill(until))
                return false;
        }
        body += m_buffer.substr(end + 2, length);
        m_buffer.erase(0, end + 2 + length + 2);
        if (length == 0)
            return true;
    }
}

std::optional<Message> Connection::read(Milliseconds timeout, bool isResponse, bool withoutBody)
{
    const auto until = Clock::now() + timeout;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    Message message;
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    for (std::string line; std::getline(head, line);) {
        while (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (message.startLine.empty())
            message.startLine = line;
        else if (colon != std::string::npos)
            message.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    const auto length = message.field("Content-Length");
    message.complete = true;
    if (withoutBody)
        return message;
    if (sameText(message.field("Transfer-Encoding"), "chunked")) {
        message.complete = readChunks(message.body, until);
    } else if (!length.empty() || !isResponse) {
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        while (m_buffer.size() < size && message.complete)
            message.complete = fill(until);
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
    }
    return message;
}

bool Connection::closedByPeer() const
{
    char byte = 0;
    const auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void Connection::reset()
{
    const linger abrupt { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
    close();
}

void Connection::shutdown()
{
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_RDWR);
}

Server::Server(const Address& address, Handler handler)
    : m_listener(listenAt(address))
    , m_handler(std::move(handler))
{
    if (m_listener < 0)
        throw std::runtime_error("cannot listen at " + address.text());
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& connection : m_connections)
            connection->shutdown();
    }
    for (auto& thread : m_threads)
        thread.join();
}

void Server::accept()
{
    while (!m_stopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_shared<Connection>(descriptor);
        const std::scoped_lock lock(m_mutex);
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection] {
            m_handler(*connection);
            const std::scoped_lock innerLock(m_mutex);
            m_connections.erase(connection);
            connection->close();
        });
    }
}

Store::Store(const Address& address)
    : m_server(std::make_unique<Server>(address, [this](Connection& connection) { serve(connection); }))
{
}

Store::~Store()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void Store::put(const std::string& itemKey, const std::string& value)
{
    const std::scoped_lock lock(m_mutex);
    const Event event { itemKey, ++m_revision, value };
    m_items[itemKey] = event;
    m_events.push_back(event);
    m_changed.notify_all();
}

void Store::remove(const std::string& itemKey)
{
    const std::scoped_lock lock(m_mutex);
    if (m_items.erase(itemKey) == 0)
        return;
    m_events.push_back({ itemKey, ++m_revision, std::nullopt });
    m_changed.notify_all();
}

void Store::serve(Connection& connection)
{
    while (const auto request = connection.read(std::chrono::seconds(60), false)) {
        const auto target = request->target();
        const bool isRange = target.rfind("/v1/kv-range", 0) == 0;
        if (!connection.send(jsonResponse(200, isRange ? range(target) : watch(target))))
            return;
        if (sameText(request->field("Connection"), "close"))
            return;
    }
}

std::string Store::range(const std::string& query)
{
    const auto prefix = queryValue(query, "prefix");
    const std::scoped_lock lock(m_mutex);
    std::string items;
    for (const auto& [name, item] : m_items) {
        if (name.rfind(prefix, 0) != 0)
            continue;
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + name + "\",\"value\":\""
            + base64(*item.value) + "\",\"revision\":" + std::to_string(item.revision)
            + ",\"created_at\":" + std::to_string(item.revision) + ",\"lease\":0}";
    }
    return "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" + std::to_string(m_revision) + "}";
}

std::string Store::watch(const std::string& query)
{
    const auto after = std::strtoull(queryValue(query, "after").c_str(), nullptr, 10);
    const auto waitMs = std::atoi(queryValue(query, "wait_ms").c_str());
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(
        lock, Milliseconds(waitMs), [this, after] { return m_stopping || m_revision > after; });
    std::string events;
    for (const auto& event : m_events) {
        if (event.revision <= after)
            continue;
        events += (events.empty() ? "" : ",") + std::string("{\"key\":\"") + event.key
            + "\",\"revision\":" + std::to_string(event.revision);
        events += event.value ? ",\"value\":\"" + base64(*event.value) + "\",\"created_at\":1,\"lease\":0}"
                              : std::string(",\"deleted\":true}");
    }
    return "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}";
}

Upstream::Upstream(const Address& address, UpstreamOptions options, Record& record, Planner planner)
    : m_address(address)
    , m_options(std::move(options))
    , m_record(record)
    , m_planner(std::move(planner))
    , m_bornMs(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                   .count())
    , m_server(std::make_unique<Server>(address, [this](Connection& connection) { serve(connection); }))
{
}

std::vector<Run> Upstream::runs()
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

std::set<std::string> Upstream::cutRuns()
{
    const std::scoped_lock lock(m_mutex);
    return m_cutRuns;
}

std::string Upstream::entry(int sequence, bool draining) const
{
    return "{\"address\":\"" + m_address.text() + "\",\"born\":" + std::to_string(m_bornMs)
        + ",\"info\":{\"service\":\"" + m_options.service + "\",\"version\":\"v1\",\"zone\":\""
        + m_options.zone + "\",\"concurrency\":" + std::to_string(m_options.slots)
        + "},\"status\":{\"state\":\"" + (draining ? "draining" : "ready")
        + "\",\"sequence\":" + std::to_string(sequence) + ",\"cold_left_ms\":0}}";
}

void Upstream::serve(Connection& connection)
{
    while (const auto request = connection.read(std::chrono::seconds(60), false)) {
        if (!request->complete || !handle(connection, *request))
            return;
    }
}

// Returns whether the connection stays open.
bool Upstream::handle(Connection& connection, const Message& request)
{
    const auto id = request.field(requestIdField);
    const auto expected = request.field("X-Tarragonhaven-Expected-Instance");
    if (request.target() == "/health")
        return connection.send("HTTP/1.1 200 OK\r\nX-Tarragonhaven-Instance-Id: " + m_options.id
            + "\r\nContent-Length: 0\r\n\r\n");
    if (!expected.empty() && expected != m_options.id)
        return connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Tarragonhaven-Instance-Id: "
            + m_options.id + "\r\n" + requestIdField + ": " + id + "\r\nContent-Length: 0\r\n\r\n");
    if (m_running.fetch_add(1) >= m_options.slots) {
        --m_running;
        m_record.write("rejected id=" + id + " upstream=" + m_options.id);
        return connection.send("HTTP/1.1 503 Service Unavailable\r\nX-Tarragonhaven-Not-Executed: 1\r\n"
            + std::string(requestIdField) + ": " + id + "\r\nContent-Length: 0\r\n\r\n");
    }
    m_record.write("run id=" + id + " upstream=" + m_options.id + " request=" + request.startLine);
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.push_back({ id, m_options.id, Clock::now() });
    }
    const auto plan = m_planner(request);
    const auto end = Clock::now() + plan.work;
    while (Clock::now() < end && !connection.closedByPeer())
        std::this_thread::sleep_for(Milliseconds(5));
    --m_running;
    if (Clock::now() < end) {
        m_record.write("cut id=" + id + " upstream=" + m_options.id + ": its connection ended while it ran");
        const std::scoped_lock lock(m_mutex);
        m_cutRuns.insert(id);
        return false;
    }
    if (plan.respond) {
        plan.respond(connection, request);
        return !connection.closedByPeer();
    }
    return connection.send(upstreamResponse(request, 200, "done " + id));
}

std::string upstreamResponse(const Message& request, int status, const std::string& body, const Fields& more)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + requestIdField + ": "
        + request.field(requestIdField) + "\r\nX-Tarragonhaven-Response-Signature: 3e1b."
        + std::to_string(body.size()) + ".c9f2a4d1\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n";
    for (const auto& [name, value] : more)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + body;
}

Node::Node(Options options)
    : m_options(std::move(options))
{
    const auto& [name, ip, service, zone, ports, store, folder] = m_options;
    const auto at = [&ip = m_options.ip](std::uint16_t port) { return ip + ":" + std::to_string(port); };
    const auto settings = folder + "/" + name + ".flags";
    std::ofstream file(settings);
    file << "--fleet=tarragonhaven\n--label=" << name << "\n--data_centre=" << zone
         << "\n--service=" << service << "\n--target_address=" << at(ports.upstream)
         << "\n--caller_address=" << at(ports.outbound) << "\n--peer_address=" << at(ports.peers)
         << "\n--operator_address=" << at(ports.ready) << "\n--metrics_address=" << at(ports.metrics)
         << "\n--store_address=" << store.text()
         << "\n--quota_window_seconds=5\n--quota_overshoot=0.25\n--quota_slack=20\n"
            "--retry_window_seconds=10\n--retry_share=0.2\n--retry_slack=60\n--floor_share=0.7\n"
            "--grace_seconds=6\n--evacuation_ms=\n--cold_overshoot=\n--cold_slack=\n--regions={\""
         << zone << "\":\"region\"}\n";
    file.close();
    const auto log = folder + "/" + name + ".log";
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    std::string programText = program;
    std::string boot = "TARRAGONHAVEN_BOOT=" + settings;
    std::string path = "PATH=/usr/bin:/bin";
    std::array<char*, 2> arguments { programText.data(), nullptr };
    std::array<char*, 3> environment { boot.data(), path.data(), nullptr };
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(program, arguments.data(), environment.data());
        _exit(127);
    }
    ::close(output);
}

Node::~Node()
{
    if (ended())
        return;
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
}

void Node::signal(int number) const
{
    if (!m_status)
        kill(m_process, number);
}

std::optional<int> Node::ended()
{
    int status = 0;
    if (!m_status && waitpid(m_process, &status, WNOHANG) == m_process)
        m_status = status;
    return m_status;
}

bool Node::awaitReady(Milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until && !ended()) {
        Connection connection;
        if (connection.connect({ m_options.ip, m_options.ports.ready }, m_options.ip)
            && connection.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const auto response = connection.read(std::chrono::seconds(1), true);
            if (response && response->status() == 200)
                return true;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

Deployment::Deployment(
    const std::vector<std::string>& services, int slots, Record& record, Upstream::Planner planner)
    : m_services(services)
{
    m_network = "127." + std::to_string(60 + generator()() % 60) + "." + std::to_string(generator()() % 250);
    const auto count = services.size();
    const auto isFreeEverywhere = [this, count](std::uint16_t port) {
        for (std::size_t i = 0; i <= count; ++i) {
            if (!isFree({ ip(i), port }))
                return false;
        }
        return true;
    };
    std::uint16_t next = static_cast<std::uint16_t>(21'000 + generator()() % 5'000);
    for (auto* port : { &m_ports.upstream, &m_ports.outbound, &m_ports.ready, &m_ports.peers,
             &m_ports.metrics, &m_ports.store }) {
        while (!isFreeEverywhere(++next)) { }
        *port = next;
    }
    auto folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary folder");
    m_folder = folder;
    m_store = std::make_unique<Store>(Address { ip(count), m_ports.store });
    for (std::size_t i = 0; i < count; ++i) {
        UpstreamOptions options;
        options.id = "i-" + std::to_string(i);
        options.service = services[i];
        options.slots = slots;
        m_upstreams.push_back(
            std::make_unique<Upstream>(Address { ip(i), m_ports.upstream }, options, record, planner));
    }
}

Deployment::~Deployment()
{
    m_stopping = true;
    if (m_heartbeats.joinable())
        m_heartbeats.join();
    m_nodes.clear();
    m_upstreams.clear();
    m_store.reset();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
    else
        std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
}

std::string Deployment::ip(std::size_t index) const { return m_network + "." + std::to_string(index + 1); }

bool Deployment::start(const std::string& config)
{
    m_store->put("op/config", config);
    const auto beat = [this](int sequence) {
        const std::scoped_lock lock(m_mutex);
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (!m_removed.contains(i))
                m_store->put("servers/" + m_upstreams[i]->options().id,
                    m_upstreams[i]->entry(sequence, m_draining.contains(i)));
        }
    };
    beat(1);
    m_heartbeats = std::thread([this, beat] {
        int sequence = 1;
        auto next = Clock::now() + heartbeat;
        while (!m_stopping) {
            std::this_thread::sleep_for(Milliseconds(20));
            if (Clock::now() < next)
                continue;
            next += heartbeat;
            beat(++sequence);
        }
    });
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        Node::Options options;
        options.name = "node-" + std::to_string(i);
        options.ip = ip(i);
        options.service = m_services[i];
        options.ports = m_ports;
        options.store = { ip(m_services.size()), m_ports.store };
        options.folder = m_folder;
        m_nodes.push_back(std::make_unique<Node>(std::move(options)));
    }
    return std::all_of(m_nodes.begin(), m_nodes.end(),
        [](const auto& node) { return node->awaitReady(std::chrono::seconds(15)); });
}

void Deployment::removeEntry(std::size_t index)
{
    const std::scoped_lock lock(m_mutex);
    m_removed.insert(index);
    m_store->remove("servers/" + m_upstreams.at(index)->options().id);
}

void Deployment::announceDraining(std::size_t index)
{
    const std::scoped_lock lock(m_mutex);
    m_draining.insert(index);
    // Above the sequence numbers of the heartbeats before it.
    m_store->put("servers/" + m_upstreams.at(index)->options().id,
        m_upstreams.at(index)->entry(drainingSequence, true));
    m_removed.insert(index);
}

std::set<std::string> Deployment::cutRuns()
{
    std::set<std::string> result;
    for (const auto& upstream : m_upstreams)
        result.merge(upstream->cutRuns());
    return result;
}

std::map<std::string, std::vector<Run>> Deployment::runs()
{
    std::map<std::string, std::vector<Run>> result;
    for (const auto& upstream : m_upstreams) {
        for (auto& run : upstream->runs())
            result[run.requestId].push_back(run);
    }
    return result;
}

std::string makeConfig(int version, const std::vector<RouteOptions>& routes)
{
    std::string rules;
    std::set<std::string> services;
    for (const auto& [prefix, service, idempotent, timeoutMs, attempts] : routes) {
        rules += (rules.empty() ? "" : ",") + std::string("{\"name\":\"r-") + std::to_string(services.size())
            + prefix.substr(1, prefix.size() - 2) + "\",\"kind\":\""
            + (idempotent ? "idempotent" : "non_idempotent")
            + "\",\"target_latency_ms\":800,\"priority\":1,\"public\":false,\"match\":{\"prefix\":\"" + prefix
            + "\"},\"action\":{\"service\":\"" + service + "\",\"timeout_ms\":" + std::to_string(timeoutMs)
            + ",\"attempts\":" + std::to_string(attempts) + "}}";
        services.insert(service);
    }
    std::string clusters;
    for (const auto& service : services)
        clusters += (clusters.empty() ? "" : ",") + std::string("{\"name\":\"") + service
            + "\",\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}";
    return "{\"version\":" + std::to_string(version)
        + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"pulo780\",\"api_keys\":[\""
        + key + "\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}],\"listeners\":[{\"host\":\"" + host
        + "\",\"rules\":[" + rules + "]}],\"clusters\":[" + clusters + "]}";
}

std::string clientRequest(const std::string& method, const std::string& target, const std::string& id,
    int deadlineMs, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + requestIdField + ": "
        + id + "\r\nX-Tarragonhaven-Request-Deadline: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Token " + key + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string newId()
{
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    std::array<char, 20> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(generator()()));
    return text.data();
}

bool troubleWanted()
{
    const char* wanted = std::getenv("TROUBLE");
    return wanted == nullptr || std::string(wanted) != "0";
}

} // namespace rig
