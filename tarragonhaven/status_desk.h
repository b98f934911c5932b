#pragma once

#include "tarragonhaven/status_request.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tarragonhaven {

// Answers the operator thread's questions on the traffic thread, over two rings.
class StatusDesk {
public:
    using Answer = std::function<StatusReply(const StatusRequest&)>;

    // `answer` runs on the thread of `io`.
    StatusDesk(boost::asio::io_context& io, Answer answer);
    StatusDesk(const StatusDesk&) = delete;
    StatusDesk& operator=(const StatusDesk&) = delete;

    [[nodiscard]] util::BoundedRing<StatusRequest>& requests() { return m_requests; }
    [[nodiscard]] util::BoundedRing<StatusReply>& replies() { return m_replies; }

private:
    void answerAll();

    Answer m_answer;
    util::BoundedRing<StatusRequest> m_requests;
    util::BoundedRing<StatusReply> m_replies;
};

} // namespace tarragonhaven
