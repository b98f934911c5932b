#include "tarragonhaven/peer_sessions.h"

#include <algorithm>

namespace tarragonhaven {

PeerSessions::PeerSessions(boost::asio::io_context& io, PeerSessionHost& host, HelloFrame localHello,
    const ConnectionLimits& connections, PortCounters& counters, LogChannel& log)
    : m_host(host)
    , m_localHello(std::move(localHello))
    , m_gate({ io, "peers", counters, log }, connections,
          [this](auto socket, auto tracked) { accept(std::move(socket), std::move(tracked)); })
{
}

std::string PeerSessions::open(const Endpoint& endpoint)
{
    const auto error = m_gate.open(endpoint);
    return error.empty() ? error : "cannot listen at the peer address: " + error;
}

void PeerSessions::accept(boost::asio::ip::tcp::socket socket, std::unique_ptr<TrackedConnection> tracked)
{
    auto link = std::make_shared<PeerLink>(std::move(socket), m_localHello);
    auto session = std::make_shared<PeerSession>(m_host, std::move(link), std::move(tracked));
    m_sessions.insert(session);
    session->start();
}

void PeerSessions::stop()
{
    for (const auto& weak : m_sessions) {
        if (const auto session = weak.lock())
            session->stop();
    }
}

bool PeerSessions::busy() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto& weak) {
        const auto session = weak.lock();
        return session && session->busy();
    });
}

void PeerSessions::removeEnded()
{
    std::erase_if(m_sessions, [](const auto& session) { return session.expired(); });
}

} // namespace tarragonhaven
