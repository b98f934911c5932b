#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/listener.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/status_request.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace tarragonhaven {

// The thread that answers operators over HTTP:
//
//   GET /live      200 while the process runs
//   GET /ready     200 while callers' requests are taken, else 503
//   GET /status    the node's state as JSON
//   GET /metrics   the metrics in the text exposition format
//
// State comes from the traffic thread over a ring, so that a slow operator never holds up traffic.
class OperatorServer {
public:
    OperatorServer(const NodeState& state, util::BoundedRing<StatusRequest>& requests,
        util::BoundedRing<StatusReply>& replies);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    // Opens a listening socket; there may be several. Returns an empty text, or why that failed.
    std::string open(const Endpoint& endpoint);
    void start();
    void stop();

private:
    using ReplyHandler = std::function<void(const StatusReply&)>;

    void accept(boost::asio::ip::tcp::socket socket);
    void queryStatus(bool metrics, ReplyHandler handler);

    const NodeState& m_state;
    util::BoundedRing<StatusRequest>& m_requests;
    util::BoundedRing<StatusReply>& m_replies;
    boost::asio::io_context m_io;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::map<unsigned long, ReplyHandler> m_pendingReplies;
    unsigned long m_lastRequestId = 0;
    std::thread m_thread;
};

} // namespace tarragonhaven
