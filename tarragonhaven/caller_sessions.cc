#include "tarragonhaven/caller_sessions.h"

#include <algorithm>

namespace tarragonhaven {

CallerSessions::CallerSessions(boost::asio::io_context& io, Entry& entry, const ConnectionLimits& connections,
    PortCounters& counters, const PipelineLimits& limits)
    : m_entry(entry)
    , m_limits(limits)
    , m_aheadBudget(limits)
    , m_gate({ io, "callers", counters, entry.dependencies().log }, connections,
          [this](auto socket, auto tracked) { accept(std::move(socket), std::move(tracked)); })
{
}

std::string CallerSessions::open(const Endpoint& endpoint)
{
    const auto error = m_gate.open(endpoint);
    return error.empty() ? error : "cannot listen on the caller address: " + error;
}

void CallerSessions::accept(boost::asio::ip::tcp::socket socket, std::unique_ptr<TrackedConnection> tracked)
{
    auto& metrics = m_entry.dependencies().metrics;
    auto session = std::make_shared<CallerSession>(m_entry, std::move(socket), std::move(tracked), m_limits,
        m_aheadBudget, [this, &metrics](const std::shared_ptr<CallerSession>& ended) {
            m_sessions.erase(ended);
            metrics.recordConnectionChange(-1);
        });
    m_sessions.insert(session);
    metrics.recordConnectionChange(1);
    session->start();
}

void CallerSessions::closeAfterResponses()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
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
        session->abandonRequests();
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
