#include "tarragonhaven/status_desk.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // Operators ask seldom; more questions than this at once are refused.
    constexpr std::size_t ringItems = 16;

} // namespace

StatusDesk::StatusDesk(boost::asio::io_context& io, std::function<TrafficSources()> sources)
    : m_sources(std::move(sources))
    , m_requests(ringItems)
    , m_replies(ringItems)
{
    m_requests.setWakeHandler([this, &io] { boost::asio::post(io, [this] { answerAll(); }); });
}

void StatusDesk::answerAll()
{
    m_requests.drain([this](const StatusRequest& request) {
        const auto sources = m_sources();
        m_replies.push(
            { request.number, request.metrics ? trafficMetricsText(sources) : trafficStatusJson(sources) });
    });
}

} // namespace tarragonhaven
