#pragma once

#include "tarragonhaven/status_request.h"
#include "tarragonhaven/traffic_status.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tarragonhaven {

// Answers the operator thread's questions on the traffic thread, over two rings.
class StatusResponder {
public:
    // `sources` is called on the thread of `io`.
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
