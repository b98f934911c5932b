#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    const auto caseStart = Clock::now();
    constexpr std::size_t bufferBytes = 65536;
    constexpr long heartbeatMs = 1500;
    constexpr int peerPort = 7000;

    std::mutex recordMutex;
    std::ofstream recordFile;

    sockaddr_in socketAddress(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    int remainingMs(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        return static_cast<int>(std::max<long long>(0, left));
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
            unsigned value = 0;
            for (std::size_t j = 0; j < 3; ++j)
                value = value << 8U | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text += j <= count ? digits[value >> (18 - 6 * j) & 63U] : '=';
        }
        return text;
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        auto start = target.find("?" + name + "=");
        if (start == std::string::npos)
            start = target.find("&" + name + "=");
        if (start == std::string::npos)
            return {};
        start += name.size() + 2;
        return target.substr(start, target.find('&', start) - start);
    }

    std::string jsonAnswer(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    int listenOn(const std::string& ip, int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = socketAddress(ip, port);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || listen(descriptor, 512) != 0) {
            close(descriptor);
            return -1;
        }
        return descriptor;
    }

    // Fills the placeholders of the template of the deploy file.
    std::string fillTemplate(std::string text, const std::map<std::string, std::string>& values)
    {
        for (auto start = text.find("{{"); start != std::string::npos; start = text.find("{{", start)) {
            const auto end = text.find("}}", start);
            const auto found = values.find(text.substr(start + 2, end - start - 2));
            text.replace(start, end + 2 - start, found == values.end() ? "" : found->second);
        }
        return text;
    }

} // namespace

long elapsedMs()
{
    return static_cast<long>(std::chrono::duration_cast<Milliseconds>(Clock::now() - caseStart).count());
}

void sleepMs(long milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }

void openRecord(const std::string& path) { recordFile.open(path, std::ios::trunc); }

void record(const std::string& line)
{
    const std::lock_guard lock(recordMutex);
    recordFile << elapsedMs() << " ms  " << line << '\n' << std::flush;
}

std::string Message::field(const std::string& name) const
{
    for (const auto& [other, value] : fields) {
        if (other == name)
            return value;
    }
    return {};
}

std::string Message::method() const { return startLine.substr(0, startLine.find(' ')); }

std::string Message::target() const
{
    const auto start = startLine.find(' ') + 1;
    return startLine.substr(start, startLine.find(' ', start) - start);
}

int Message::status() const
{
    const auto start = startLine.find(' ');
    return start == std::string::npos ? 0
                                      : static_cast<int>(std::strtol(startLine.c_str() + start, nullptr, 10));
}

Connection::~Connection()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(const std::string& ip, int port, long timeoutMs)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    const auto address = socketAddress(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        pollfd waiting { descriptor, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(timeoutMs)) != 1
            || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connection;
}

bool Connection::write(const std::string& bytes)
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

bool Connection::fill(Clock::time_point deadline)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (m_ended || poll(&waiting, 1, remainingMs(deadline)) != 1)
        return false;
    std::string bytes(bufferBytes, '\0');
    const auto count = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    m_ended = count <= 0;
    if (count > 0)
        m_buffer.append(bytes, 0, static_cast<std::size_t>(count));
    return count > 0;
}

bool Connection::readLine(std::string& line, Clock::time_point deadline)
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline))
            return false;
        end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::string& bytes, std::size_t count, Clock::time_point deadline)
{
    while (m_buffer.size() < count) {
        if (!fill(deadline)) {
            bytes += std::exchange(m_buffer, {});
            return false;
        }
    }
    bytes += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readBody(Message& message, Clock::time_point deadline, bool headRequest)
{
    const auto length = message.field("content-length");
    const bool chunked = lower(message.field("transfer-encoding")) == "chunked";
    if (headRequest || (!chunked && length.empty()))
        return true;
    if (!chunked)
        return readBytes(message.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
    std::string line;
    while (readLine(line, deadline)) {
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (size > 0 && !readBytes(message.body, size, deadline))
            return false;
        if (!readLine(line, deadline))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

bool Connection::read(Message& message, Clock::time_point deadline, bool headRequest)
{
    message = {};
    if (!readLine(message.startLine, deadline))
        return false;
    std::string line;
    while (readLine(line, deadline)) {
        if (line.empty()) {
            message.complete = readBody(message, deadline, headRequest);
            return true;
        }
        const auto colon = line.find(':');
        const auto start = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(
            lower(line.substr(0, colon)), start == std::string::npos ? "" : line.substr(start));
    }
    return false;
}

bool Connection::closedByPeer() const
{
    char byte = 0;
    const auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutdown() const { ::shutdown(m_descriptor, SHUT_RDWR); }

void Connection::reset()
{
    const linger value { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    close(std::exchange(m_descriptor, -1));
}

bool Server::start(const std::string& ip, int port, Handler handler)
{
    m_handler = std::move(handler);
    m_descriptor = listenOn(ip, port);
    if (m_descriptor < 0)
        return false;
    m_thread = std::thread([this] { accept(); });
    return true;
}

void Server::accept()
{
    while (!m_stopping) {
        pollfd waiting { m_descriptor, POLLIN, 0 };
        if (poll(&waiting, 1, 20) != 1)
            continue;
        const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] {
            m_handler(*connection);
            connection->shutdown();
            const std::lock_guard innerLock(m_mutex);
            m_connections.remove(connection);
        });
    }
}

void Server::stop()
{
    if (m_descriptor < 0)
        return;
    m_stopping = true;
    m_thread.join();
    close(std::exchange(m_descriptor, -1));
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& connection : m_connections)
            connection->shutdown();
    }
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

bool Store::start(const std::string& ip, int port)
{
    return m_server.start(ip, port, [this](Connection& connection) { serve(connection); });
}

void Store::stop()
{
    m_stopping = true;
    m_changed.notify_all();
    m_server.stop();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = { key, value, ++m_revision, false };
    m_events.push_back(m_items[key]);
    m_changed.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(key) == 0)
        return;
    m_events.push_back({ key, "", ++m_revision, true });
    m_changed.notify_all();
}

std::string Store::range(const std::string& prefix, const std::string& after)
{
    constexpr std::size_t pageItems = 500;
    const std::lock_guard lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, item] : m_items) {
        if (key.rfind(prefix, 0) != 0 || key <= after)
            continue;
        more = count == pageItems;
        if (more)
            break;
        const auto revision = std::to_string(item.revision);
        items += std::string(count++ > 0 ? "," : "") + R"({"key":")" + key + R"(","value":")"
            + base64(item.value) + R"(","revision":)" + revision + R"(,"created_at":)" + revision
            + R"(,"lease":0})";
    }
    return R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"as_of":)"
        + std::to_string(m_revision) + "}";
}

std::string Store::watch(const std::string& prefix, long after, long waitMs)
{
    std::unique_lock lock(m_mutex);
    const auto deadline = Clock::now() + Milliseconds(waitMs);
    const auto hasNews = [&] {
        return m_stopping || std::any_of(m_events.begin(), m_events.end(), [&](const Event& event) {
            return event.revision > after && event.key.rfind(prefix, 0) == 0;
        });
    };
    m_changed.wait_until(lock, deadline, hasNews);
    std::string events;
    for (const auto& event : m_events) {
        if (event.revision <= after || event.key.rfind(prefix, 0) != 0)
            continue;
        events += std::string(events.empty() ? "" : ",") + R"({"key":")" + event.key + R"(","revision":)"
            + std::to_string(event.revision)
            + (event.deleted ? std::string(R"(,"deleted":true})")
                             : R"(,"created_at":1,"lease":0,"value":")" + base64(event.value) + R"("})");
    }
    return R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(m_revision) + "}";
}

void Store::serve(Connection& connection)
{
    Message request;
    while (!m_stopping && connection.read(request, Clock::now() + std::chrono::minutes(1))) {
        const auto target = request.target();
        std::string answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        if (target.rfind("/v1/kv-range?", 0) == 0)
            answer = jsonAnswer(range(queryValue(target, "prefix"), queryValue(target, "after")));
        if (target.rfind("/v1/kv-watch?", 0) == 0)
            answer = jsonAnswer(watch(queryValue(target, "prefix"),
                std::strtol(queryValue(target, "after").c_str(), nullptr, 10),
                std::strtol(queryValue(target, "wait_ms").c_str(), nullptr, 10)));
        if (!connection.write(answer) || lower(request.field("connection")) == "close")
            return;
    }
}

Upstream::Upstream(Store& store, UpstreamOptions options, Run run)
    : m_store(store)
    , m_options(std::move(options))
    , m_run(std::move(run))
{
}

std::string Upstream::id() const
{
    const std::lock_guard lock(m_mutex);
    return m_options.id + "-" + std::to_string(m_incarnation);
}

bool Upstream::start()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_incarnation;
        m_sequence = 0;
        m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                     .count();
    }
    m_stopping = false;
    m_server = std::make_unique<Server>();
    if (!m_server->start(m_options.ip, m_options.port, [this](Connection& connection) { serve(connection); }))
        return false;
    writeEntry();
    m_beatThread = std::thread([this] { beat(); });
    return true;
}

void Upstream::crash()
{
    if (m_stopping.exchange(true))
        return;
    m_server->stop();
    m_beatThread.join();
}

void Upstream::removeEntry() { m_store.remove("servers/" + id()); }

void Upstream::writeEntry()
{
    const auto name = id();
    const std::lock_guard lock(m_mutex);
    m_store.put("servers/" + name,
        R"({"address":")" + m_options.ip + ":" + std::to_string(m_options.port) + R"(","born":)"
            + std::to_string(m_born) + R"(,"info":{"service":")" + m_options.service
            + R"(","version":"v1","zone":")" + m_options.zone + R"(","concurrency":)"
            + std::to_string(m_options.concurrency) + R"(},"status":{"state":"ready","sequence":)"
            + std::to_string(++m_sequence) + R"(,"cold_left_ms":0}})");
}

void Upstream::beat()
{
    auto next = Clock::now() + Milliseconds(heartbeatMs);
    while (!m_stopping) {
        sleepMs(20);
        if (Clock::now() < next)
            continue;
        next += Milliseconds(heartbeatMs);
        writeEntry();
    }
}

std::string Upstream::answer(const Message& request, int status, const std::string& body)
{
    const auto requestId = request.field("x-tarragonhaven-request-id");
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nX-Tarragonhaven-Request-Id: " + requestId
        + "\r\nX-Tarragonhaven-Response-Signature: s." + requestId
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Upstream::serve(Connection& connection)
{
    Message request;
    while (!m_stopping && connection.read(request, Clock::now() + std::chrono::seconds(10))) {
        if (!request.complete)
            return;
        const auto notRun = [&](const char* status) {
            return connection.write("HTTP/1.1 " + std::string(status)
                + "\r\nX-Tarragonhaven-Not-Executed: 1\r\nX-Tarragonhaven-Request-Id: "
                + request.field("x-tarragonhaven-request-id") + "\r\nX-Tarragonhaven-Instance-Id: " + id()
                + "\r\nContent-Length: 0\r\n\r\n");
        };
        const auto expected = request.field("x-tarragonhaven-expected-instance");
        bool kept = true;
        if (!expected.empty() && expected != id()) {
            kept = notRun("421 Misdirected Request");
        } else if (m_running.fetch_add(1) >= m_options.concurrency) {
            --m_running;
            kept = notRun("503 Service Unavailable");
        } else {
            kept = m_run(*this, connection, request);
            --m_running;
        }
        if (!kept)
            return;
    }
}

Node::Node(NodeOptions options, std::string folder)
    : m_options(std::move(options))
    , m_folder(std::move(folder))
{
}

Node::~Node()
{
    int status = 0;
    if (m_process <= 0 || ended(status))
        return;
    send(SIGKILL);
    waitpid(m_process, nullptr, 0);
}

bool Node::start()
{
    std::map<std::string, std::string> values { { "node_name", m_options.label }, { "zone", m_options.zone },
        { "service", m_options.service }, { "app_addr", m_options.targetAddress }, { "ip", m_options.ip },
        { "listen_addrs.outbound", m_options.ip + ":" + std::to_string(callerPort) },
        { "listen_addrs.ready", m_options.ip + ":" + std::to_string(readyPort) },
        { "port_range.0", std::to_string(peerPort) }, { "port_range.1", "7015" },
        { "platform.address", m_options.storeAddress }, { "bounds.quota_window_s", "5" },
        { "bounds.quota_overshoot", "0.25" }, { "bounds.quota_slack", "20" },
        { "bounds.budget_window_s", "10" }, { "bounds.retry_budget_ratio", "0.2" },
        { "bounds.retry_slack", "60" }, { "bounds.floor_share", "0.7" }, { "bounds.grace_period_s", "6" } };
    for (const auto& [name, value] : m_options.bounds)
        values[name] = value;
    std::stringstream text;
    text << std::ifstream("deploy/settings.flags").rdbuf();
    const auto file = m_folder + "/" + m_options.label + ".flags";
    std::ofstream(file) << fillTemplate(text.str(), values);
    const std::string boot = "TARRAGONHAVEN_BOOT=" + file;
    std::string program = "target/tarragonhaven_sidecar";
    std::vector<char*> arguments { program.data(), nullptr };
    std::vector<char*> environment { const_cast<char*>(boot.c_str()), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto log = m_folder + "/" + m_options.label + ".log";
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    return error == 0;
}

void Node::send(int signal) const { kill(m_process, signal); }

bool Node::ended(int& status)
{
    if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process)
        m_process = 0;
    status = m_status;
    return m_process == 0;
}

bool Node::awaitReady(long timeoutMs) const
{
    const auto deadline = Clock::now() + Milliseconds(timeoutMs);
    while (Clock::now() < deadline) {
        const auto connection = Connection::open(m_options.ip, readyPort, 500);
        Message answer;
        if (connection && connection->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && connection->read(answer, Clock::now() + Milliseconds(500)) && answer.status() == 200)
            return true;
        sleepMs(50);
    }
    return false;
}

std::string newRequestId()
{
    static std::atomic<unsigned long> next { 0 };
    static const unsigned long base = std::random_device {}();
    std::stringstream text;
    text << std::hex << (base << 24U) + ++next;
    return text.str();
}

Answer call(const std::string& ip, const Request& request, long patienceMs)
{
    Answer answer;
    answer.sentAtMs = elapsedMs();
    const auto deadline = Clock::now() + Milliseconds(request.deadlineMs + patienceMs);
    const auto connection = Connection::open(ip, Node::callerPort, 1000);
    answer.connected = connection != nullptr;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host
        + "\r\nX-Tarragonhaven-Request-Id: " + request.id
        + "\r\nX-Tarragonhaven-Request-Deadline: " + std::to_string(request.deadlineMs) + "\r\n";
    if (!request.key.empty())
        text += "Authorization: Token " + request.key + "\r\n";
    for (const auto& [name, value] : request.fields)
        text.append(name).append(": ").append(value).append("\r\n");
    if (request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    if (connection && connection->write(text + "\r\n" + request.body)
        && connection->read(answer.message, deadline, request.method == "HEAD")) {
        answer.status = answer.message.status();
        answer.complete = answer.message.complete;
    }
    answer.endedAtMs = elapsedMs();
    return answer;
}

std::string freeNetwork()
{
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 100; ++attempt) {
        const auto network
            = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
        const int descriptor = listenOn(network + ".1", Node::callerPort);
        if (descriptor < 0)
            continue;
        close(descriptor);
        return network;
    }
    return {};
}

std::string temporaryFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(path.data()) ? path : std::string();
}

void removeFolder(const std::string& folder)
{
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
}

bool withoutTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value && std::string(value) == "0";
}

std::string configValue(const ConfigOptions& options)
{
    std::string rules;
    for (const auto& route : options.routes)
        rules += std::string(rules.empty() ? "" : ",") + R"({"name":"r)" + route.prefix + R"(","kind":")"
            + route.kind + R"(","target_latency_ms":)" + std::to_string(route.latencyMs)
            + R"(,"priority":1,"public":false,"match":{"prefix":")" + route.prefix
            + R"("},"action":{"service":")" + route.service + R"(","timeout_ms":)"
            + std::to_string(route.timeoutMs) + R"(,"attempts":)" + std::to_string(route.attempts) + "}}";
    std::string tenants;
    for (const auto& tenant : options.tenants) {
        std::string keys;
        for (const auto& key : tenant.keys)
            keys.append(keys.empty() ? "\"" : ",\"").append(key).append("\"");
        tenants += std::string(tenants.empty() ? "" : ",") + R"({"name":")" + tenant.name
            + R"(","api_keys":[)" + keys + R"(],"priority":1,"rate_per_s":0,"burst":0})";
    }
    std::string clusters;
    for (const auto& service : options.services)
        clusters += std::string(clusters.empty() ? "" : ",") + R"({"name":")" + service
            + R"(","health_path":"/health","max_connections":330,"protocol":"h1","tls":false})";
    return R"({"version":)" + std::to_string(options.version) + R"(,"limits":{"max_header_bytes":)"
        + std::to_string(options.maxHeaderBytes)
        + R"(,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
        + tenants + R"(],"listeners":[{"host":")" + options.host + R"(","rules":[)" + rules
        + R"(]}],"clusters":[)" + clusters + "]}";
}

} // namespace review
