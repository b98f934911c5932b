#pragma once

#include "tarragonhaven/node_settings.h"

#include <memory>
#include <string>

namespace tarragonhaven {

// A node: the process that carries traffic beside the targets of one instance. Any caller may connect to any
// node of the fleet: the node checks the caller's key and rate, chooses a target, and hands the request to
// the node that guards that target, which may be itself.
//
// A node is made of threads that each have one duty and meet in bounded rings: traffic, control,
// configuration, operators and the log. It keeps nothing: it starts with no configuration, takes no request
// before it has one, and learns the newest revision from the platform or from its peers.
//
//   Node node(settings);
//   const auto fault = node.start();
//   if (!fault.empty())
//       report(fault);
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

    // Opens the sockets and starts the threads. Returns an empty text, or why that failed.
    std::string start();
    // Begins a planned stop. Requests under way are finished; new ones are refused as not run.
    void beginStop();
    // Whether the stop has nothing left to wait for.
    [[nodiscard]] bool drained() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
