#include "fleet.h"

#include "record.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

    constexpr const char* program = "target/tarragonhaven_sidecar";
    constexpr int readyAttempts = 200;
    constexpr int readyPauseMs = 50;
    constexpr int portsPerFleet = 10;
    constexpr int firstPort = 20000;
    constexpr int lastPort = 30000;

    std::string routes(const std::string& service)
    {
        const auto rule = [&service](const std::string& prefix, const std::string& kind, int timeoutMs) {
            return "{\"name\":\"" + prefix + service + "\",\"kind\":\"" + kind
                + "\",\"target_latency_ms\":1500,\"priority\":1,\"public\":false,\"match\":{\"prefix\":\"/"
                + prefix + service + "/\"},\"action\":{\"service\":\"" + service
                + "\",\"timeout_ms\":" + std::to_string(timeoutMs) + ",\"attempts\":2}}";
        };
        return rule("once-", "non_idempotent", onceTimeoutMs) + ","
            + rule("load-", "download", loadTimeoutMs);
    }

    std::string cluster(const std::string& service)
    {
        return "{\"name\":\"" + service
            + "\",\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}";
    }

    bool isFree(int ports)
    {
        for (const auto* address : { "127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5" }) {
            for (int port = ports; port < ports + portsPerFleet; ++port) {
                const int descriptor = listenAt({ address, static_cast<std::uint16_t>(port) });
                if (descriptor < 0)
                    return false;
                close(descriptor);
            }
        }
        return true;
    }

} // namespace

Node::Node(const std::string& folder, const std::string& host, std::uint16_t ports, const std::string& zone,
    const std::string& service, const Address& store)
    : m_settings(folder + "/" + host + ".flags")
    , m_log(folder + "/" + host + ".log")
    , m_host(host)
    , m_ports(ports)
{
    const auto at = [this](int offset) { return Address { m_host, portAt(offset) }.text(); };
    std::ofstream(m_settings)
        << "--fleet=tarragonhaven\n--label=sidecar-" << host << "\n--data_centre=" << zone
        << "\n--service=" << service << "\n--target_address=" << at(targetPort)
        << "\n--caller_address=" << at(callerPort) << "\n--peer_address=" << at(peerPort)
        << "\n--operator_address=" << at(readyPort) << "\n--metrics_address=" << at(metricsPort)
        << "\n--store_address=" << store.text()
        << "\n--quota_window_seconds=5\n--quota_overshoot=0.25\n--quota_slack=20\n--retry_window_seconds=10"
           "\n--retry_share=0.2\n--retry_slack=60\n--floor_share=0.7\n--grace_seconds=6\n--evacuation_ms="
           "\n--cold_overshoot=\n--cold_slack=\n--regions={\"a\":\"one\",\"b\":\"one\",\"c\":\"one\"}\n";
}

Node::~Node()
{
    if (m_process <= 0)
        return;
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
}

bool Node::start()
{
    const auto variable = "TARRAGONHAVEN_BOOT=" + m_settings;
    m_process = fork();
    if (m_process != 0)
        return m_process > 0;
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::string name = program;
    std::string environment = variable;
    char* arguments[] = { name.data(), nullptr };
    char* variables[] = { environment.data(), nullptr };
    execve(program, arguments, variables);
    _exit(1);
}

bool Node::awaitReady() const
{
    for (int i = 0; i < readyAttempts; ++i) {
        const int descriptor = Connection::connectTo({ m_host, portAt(readyPort) });
        if (descriptor >= 0) {
            Connection connection(descriptor);
            connection.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto head = connection.readHead();
            if (head && statusOf(*head) == 200)
                return true;
        }
        sleepMs(readyPauseMs);
    }
    return false;
}

void Node::send(int signal) const { kill(m_process, signal); }

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "rig-3-XXXXXX";
    m_path = mkdtemp(pattern.data());
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::uint16_t findFreePorts()
{
    const int start = firstPort + static_cast<int>(getpid()) * portsPerFleet % (lastPort - firstPort);
    for (int ports = start; ports < lastPort; ports += portsPerFleet) {
        if (isFree(ports))
            return static_cast<std::uint16_t>(ports);
    }
    return 0;
}

std::string configuration(int version, const std::string& firstService, const std::string& secondService)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"rig\",\"api_keys\":[\""
        + tenantKey + "\"],\"priority\":1,\"rate_per_s\":400,\"burst\":400}],\"listeners\":[{\"host\":\""
        + hostName + "\",\"rules\":[" + routes(firstService) + "," + routes(secondService)
        + "]}],\"clusters\":[" + cluster(firstService) + "," + cluster(secondService) + "]}";
}

std::string request(const std::string& method, const std::string& path, const std::string& id, int deadlineMs,
    std::size_t bodyBytes)
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Tarragonhaven-Request-Id: "
        + id + "\r\nX-Tarragonhaven-Request-Deadline: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Token " + tenantKey + "\r\n";
    if (bodyBytes > 0)
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    return text + "\r\n" + std::string(bodyBytes, 'b');
}

std::string response(const std::string& upstream, const std::string& requestId, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Tarragonhaven-Request-Id: " + requestId
        + "\r\nX-Tarragonhaven-Response-Signature: " + upstream + "." + requestId
        + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int statusOf(const MessageHead& head)
{
    const auto space = head.startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(head.startLine.c_str() + space);
}

} // namespace rig
