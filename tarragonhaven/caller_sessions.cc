#include "tarragonhaven/caller_sessions.h"

#include <algorithm>

namespace tarragonhaven {

CallerSessions::CallerSessions(boost::asio::io_context& io, Entry& entry, std::uint32_t maximumConnections)
    : m_entry(entry)
    , m_maximumConnections(maximumConnections)
    , m_listener(io, [this](auto socket) { accept(std::move(socket)); })
{
}

std::string CallerSessions::open(const Endpoint& endpoint)
{
    const auto error = m_listener.open(endpoint);
    return error.empty() ? error : "cannot listen on the caller address: " + error;
}

void CallerSessions::accept(boost::asio::ip::tcp::socket socket)
{
    if (m_sessions.size() >= m_maximumConnections)
        return;
    auto& metrics = m_entry.dependencies().metrics;
    auto session = std::make_shared<CallerSession>(
        m_entry, std::move(socket), [this, &metrics](const std::shared_ptr<CallerSession>& ended) {
            m_sessions.erase(ended);
            metrics.recordConnectionChange(-1);
        });
    m_sessions.insert(session);
    metrics.recordConnectionChange(1);
    session->start();
}

void CallerSessions::closeAfterResponses()
{
    for (const auto& session : m_sessions)
        session->stop(false);
}

void CallerSessions::closeIdle()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions) {
        if (!session->busy())
            session->stop(true);
    }
}

void CallerSessions::abandonRequests()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->abandonRequest();
}

void CallerSessions::closeAll()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->close();
}

bool CallerSessions::busy() const
{
    return std::any_of(
        m_sessions.begin(), m_sessions.end(), [](const auto& session) { return session->busy(); });
}

} // namespace tarragonhaven
