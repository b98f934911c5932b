#include "tarragonhaven/caller_sessions.h"

#include "tarragonhaven/memory/memory_policy.h"

#include <algorithm>
#include <vector>

namespace tarragonhaven {

namespace {

    // Returns whether a connection was closed because its caller exceeded a limit.
    bool isLimit(CloseReason reason)
    {
        return reason == CloseReason::HeadTimeout || reason == CloseReason::BodyTimeout
            || reason == CloseReason::DiscardLimit || reason == CloseReason::WriteFailed
            || reason == CloseReason::ClosedForMemory;
    }

} // namespace

CallerSessions::CallerSessions(boost::asio::io_context& io, Entry& entry, const ConnectionLimits& connections,
    PortCounters& counters, const CallerSessionOptions& options)
    : m_entry(entry)
    , m_counters(counters)
    , m_options(options)
    , m_memory(std::make_shared<MemoryAccount>(options.memoryBoundBytes))
    , m_aheadBudget(options.pipeline, m_memory.get())
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
    auto session
        = std::make_shared<CallerSession>(m_entry, std::move(socket), std::move(tracked), m_options, m_memory,
            m_aheadBudget, [this, &metrics](const std::shared_ptr<CallerSession>& ended, CloseReason reason) {
                m_sessions.erase(ended);
                metrics.recordConnectionChange(-1);
                recordEnd(reason);
            });
    m_sessions.insert(session);
    metrics.recordConnectionChange(1);
    session->start();
}

void CallerSessions::relieveMemory()
{
    const auto pressure = m_memory->pressure();
    logPressure(pressure);
    if (pressure < MemoryPressure::Refuse)
        return;
    const std::vector<std::shared_ptr<CallerSession>> sessions(m_sessions.begin(), m_sessions.end());
    std::vector<ConnectionUse> uses;
    uses.reserve(sessions.size());
    for (const auto& session : sessions)
        uses.push_back(session->use());
    const auto excess = m_memory->excessBytes(MemoryPressure::Refuse);
    for (const auto index : connectionsToClose(uses, pressure, excess))
        sessions[index]->closeForMemory();
}

void CallerSessions::logPressure(MemoryPressure pressure)
{
    if (pressure == m_loggedPressure)
        return;
    const auto count = m_pressureLines.record(util::BootClock::now());
    if (!count)
        return;
    m_entry.dependencies().log.write(LogLevel::Warning, "memory",
        { { "event", "pressure" }, { "from", toString(m_loggedPressure) }, { "to", toString(pressure) },
            { "heldBytes", m_memory->heldBytes() }, { "boundBytes", m_memory->boundBytes() },
            { "peakBytes", m_memory->peakBytes() }, { "connections", m_sessions.size() } });
    m_loggedPressure = pressure;
}

void CallerSessions::recordEnd(CloseReason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    ++m_counters.ends.at(index);
    if (!isLimit(reason))
        return;
    if (const auto count = m_endLines.at(index).record(util::BootClock::now()))
        m_entry.dependencies().log.write(LogLevel::Warning, "connections",
            { { "event", "ended" }, { "port", "callers" }, { "reason", toString(reason) },
                { "open", m_sessions.size() }, { "count", *count } });
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
