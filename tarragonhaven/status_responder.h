#pragma once

#include "tarragonhaven/status_request.h"
#include "tarragonhaven/traffic_status.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tarragonhaven {

// Answers the status requests of the operator thread on the traffic thread. Requests and replies pass through
// two rings of 16 items each; a request that finds the ring full is dropped.
class StatusResponder {
public:
    // `sources` is called on the thread that runs `io`.
    StatusResponder(boost::asio::io_context& io, std::function<TrafficSources()> sources);
    StatusResponder(const StatusResponder&) = delete;
    StatusResponder& operator=(const StatusResponder&) = delete;

    [[nodiscard]] util::BoundedRing<StatusRequest>& requests() { return m_requests; }
    [[nodiscard]] util::BoundedRing<StatusReply>& replies() { return m_replies; }

private:
    void answerRequests();

    std::function<TrafficSources()> m_sources;
    util::BoundedRing<StatusRequest> m_requests;
    util::BoundedRing<StatusReply> m_replies;
};

} // namespace tarragonhaven
