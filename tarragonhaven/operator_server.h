#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/memory/connection_gate.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/status_request.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace tarragonhaven {

// Runs the thread of the operator endpoint, an HTTP server with these paths:
//
//   GET /live      200 while the process runs
//   GET /ready     200 while the node accepts requests of callers, otherwise 503
//   GET /status    the state of the node as JSON
//   GET /metrics   the metrics in the Prometheus text exposition format
//
// For the last two, the server queries the traffic thread over a pair of rings, so that a slow client never
// blocks traffic. If the request ring is full, the connection is closed without a response. The number of
// connections is limited, so that clients cannot use up the descriptors or the memory of the process.
class OperatorServer {
public:
    OperatorServer(NodeState& state, LogChannel& log, const ConnectionLimits& connections,
        util::BoundedRing<StatusRequest>& requests, util::BoundedRing<StatusReply>& replies);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    // Opens a listening socket; may be called several times. Returns an error message, or an
    // empty text on success.
    std::string open(const Endpoint& endpoint);
    void start();
    void stop();

private:
    using ReplyHandler = std::function<void(const StatusReply&)>;

    void accept(boost::asio::ip::tcp::socket socket, std::unique_ptr<TrackedConnection> tracked);
    // Requests the metrics or the status from the traffic thread. Drops the handler if the ring is full.
    void queryStatus(bool metrics, ReplyHandler handler);

    const NodeState& m_state;
    util::BoundedRing<StatusRequest>& m_requests;
    util::BoundedRing<StatusReply>& m_replies;
    boost::asio::io_context m_io;
    ConnectionGate m_gate;
    // Handlers of the replies that have not arrived yet, by request id.
    std::map<unsigned long, ReplyHandler> m_pendingReplies;
    unsigned long m_lastRequestId = 0;
    std::thread m_thread;
};

} // namespace tarragonhaven
