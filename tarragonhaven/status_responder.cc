#include "tarragonhaven/status_responder.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // Requests that arrive while this many are unanswered are dropped. Operators send few requests.
    constexpr std::size_t ringCapacity = 16;

} // namespace

StatusResponder::StatusResponder(boost::asio::io_context& io, std::function<TrafficSources()> sources)
    : m_sources(std::move(sources))
    , m_requests(ringCapacity)
    , m_replies(ringCapacity)
{
    m_requests.setWakeHandler([this, &io] { boost::asio::post(io, [this] { answerRequests(); }); });
}

void StatusResponder::answerRequests()
{
    m_requests.drain([this](const StatusRequest& request) {
        const auto sources = m_sources();
        m_replies.push(
            { request.id, request.metrics ? trafficMetricsText(sources) : trafficStatusJson(sources) });
    });
}

} // namespace tarragonhaven
