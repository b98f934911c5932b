#pragma once

#include "connection.h"

#include <string>
#include <sys/types.h>

namespace rig {

// A node as a separate process, started as the deploy file says, with a settings file of its own.
class Node {
public:
    // `ports` is the first of the ports that the nodes of a fleet use, all nodes the same ones.
    Node(const std::string& folder, const std::string& host, std::uint16_t ports, const std::string& zone,
        const std::string& service, const Address& store);
    // Kills the process if it still runs.
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    bool start();
    // Waits until the node answers the readiness check with 200.
    [[nodiscard]] bool awaitReady() const;
    void send(int signal) const;

    [[nodiscard]] Address callerAddress() const { return { m_host, portAt(callerPort) }; }
    [[nodiscard]] Address targetAddress() const { return { m_host, portAt(targetPort) }; }

private:
    static constexpr int peerPort = 0;
    static constexpr int callerPort = 1;
    static constexpr int readyPort = 2;
    static constexpr int targetPort = 3;
    static constexpr int metricsPort = 4;
    [[nodiscard]] std::uint16_t portAt(int offset) const
    {
        return static_cast<std::uint16_t>(m_ports + offset);
    }

    std::string m_settings;
    std::string m_log;
    std::string m_host;
    std::uint16_t m_ports;
    pid_t m_process = -1;
};

// A folder for settings and logs, which is removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

// Returns the first of a row of ports that are free on the hosts 127.0.0.1 to 127.0.0.5.
std::uint16_t findFreePorts();

// Returns a configuration with one tenant, whose key is `tenantKey`, and these routes for each service: a
// non-idempotent one at /once-SERVICE/ and one for downloads at /load-SERVICE/.
std::string configuration(int version, const std::string& firstService, const std::string& secondService);
inline constexpr const char* tenantKey = "k7q2mxw9c4";
inline constexpr const char* hostName = "rig.example";
// The timeouts of these routes.
inline constexpr int onceTimeoutMs = 5000;
inline constexpr int loadTimeoutMs = 6000;

// Returns a request with a body of this length, or without one if it is 0.
std::string request(const std::string& method, const std::string& path, const std::string& id, int deadlineMs,
    std::size_t bodyBytes);

// Returns a successful response of an upstream.
std::string response(const std::string& upstream, const std::string& requestId, const std::string& body);

// Returns the status in the start line of a response.
int statusOf(const MessageHead& head);

} // namespace rig
