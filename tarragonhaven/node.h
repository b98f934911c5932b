#pragma once

#include "tarragonhaven/node_settings.h"

#include <memory>
#include <string>

namespace tarragonhaven {

// A node: the proxy process that runs on an instance and forwards requests to the targets there. Callers may
// connect to any node of the fleet. The node checks the caller's key and rate limit, chooses a target, and
// forwards the request to the guard node of that target, which may be the node itself.
//
// A node has one thread each for traffic, control, configuration, operators and logging. The threads exchange
// messages through bounded rings. A node stores nothing on disk: it starts without a configuration, accepts
// no requests until it has received one, and receives the newest revision from the platform or from its
// peers.
//
//   Node node(settings);
//   const auto error = node.start();
//   if (!error.empty())
//       report(error);
//   ...
//   node.beginStop();
//   while (!node.drained())
//       wait();
class Node {
public:
    explicit Node(NodeSettings settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Opens the sockets and starts the threads. Returns an empty string on success, else an error message.
    std::string start();
    // Begins a planned stop. Requests in progress may complete within NodeSettings::drainTimeout; new
    // requests are refused as not run.
    void beginStop();
    // Whether the planned stop is complete, so that the process may exit.
    [[nodiscard]] bool drained() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
