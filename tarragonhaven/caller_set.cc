#include "tarragonhaven/caller_set.h"

#include <algorithm>

namespace tarragonhaven {

CallerSet::CallerSet(boost::asio::io_context& io, Entry& entry, std::uint32_t maximumConnections)
    : m_entry(entry)
    , m_maximumConnections(maximumConnections)
    , m_listener(io, [this](auto socket) { accept(std::move(socket)); })
{
}

std::string CallerSet::open(const Endpoint& endpoint)
{
    const auto fault = m_listener.open(endpoint);
    return fault.empty() ? fault : "caller address: " + fault;
}

void CallerSet::accept(boost::asio::ip::tcp::socket socket)
{
    if (m_sessions.size() >= m_maximumConnections)
        return;
    auto& metrics = m_entry.dependencies().metrics;
    auto session = std::make_shared<CallerSession>(
        m_entry, std::move(socket), [this, &metrics](const std::shared_ptr<CallerSession>& ended) {
            m_sessions.erase(ended);
            metrics.noteConnection(-1);
        });
    m_sessions.insert(session);
    metrics.noteConnection(1);
    session->start();
}

void CallerSet::endAfterAnswers()
{
    for (const auto& session : m_sessions)
        session->stop(false);
}

void CallerSet::endIdle()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions) {
        if (!session->busy())
            session->stop(true);
    }
}

void CallerSet::giveUp()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->giveUp();
}

void CallerSet::endAll()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->close();
}

bool CallerSet::busy() const
{
    return std::any_of(
        m_sessions.begin(), m_sessions.end(), [](const auto& session) { return session->busy(); });
}

} // namespace tarragonhaven
