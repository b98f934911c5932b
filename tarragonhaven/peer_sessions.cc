#include "tarragonhaven/peer_sessions.h"

namespace tarragonhaven {

PeerSessions::PeerSessions(boost::asio::io_context& io, PeerSessionHost& host, HelloFrame localHello)
    : m_host(host)
    , m_localHello(std::move(localHello))
    , m_listener(io, [this](auto socket) { accept(std::move(socket)); })
{
}

std::string PeerSessions::open(const Endpoint& endpoint)
{
    const auto error = m_listener.open(endpoint);
    return error.empty() ? error : "cannot listen at the peer address: " + error;
}

void PeerSessions::accept(boost::asio::ip::tcp::socket socket)
{
    auto link = std::make_shared<PeerLink>(std::move(socket), m_localHello);
    auto session = std::make_shared<PeerSession>(m_host, std::move(link));
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

void PeerSessions::removeEnded()
{
    std::erase_if(m_sessions, [](const auto& session) { return session.expired(); });
}

} // namespace tarragonhaven
