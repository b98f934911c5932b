#include "tarragonhaven/memory/connection_gate.h"

#include <utility>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

    constexpr const char* logKind = "connections";

    std::int64_t milliseconds(util::Duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

} // namespace

ConnectionGate::ConnectionGate(
    const Dependencies& dependencies, const ConnectionLimits& limits, Handler handler)
    : m_dependencies(dependencies)
    , m_handler(std::move(handler))
    , m_registry(std::make_shared<TrackedConnection::Registry>(limits))
{
    m_dependencies.counters.limit = limits.total;
}

std::string ConnectionGate::open(const Endpoint& endpoint)
{
    m_listeners.push_back(std::make_unique<Listener>(
        m_dependencies.io, [this](tcp::socket socket) { accept(std::move(socket)); }, this));
    return m_listeners.back()->open(endpoint);
}

void ConnectionGate::close()
{
    for (const auto& listener : m_listeners)
        listener->close();
}

bool ConnectionGate::mayAccept()
{
    const auto& table = m_registry->table;
    m_dependencies.counters.open = table.size();
    const bool allowed = table.mayAccept(util::BootClock::now());
    if (allowed)
        resume();
    else
        pause("the limit is reached, and no connection can be closed");
    return allowed;
}

void ConnectionGate::onAcceptFailed(const std::string& reason)
{
    ++m_dependencies.counters.acceptFailures;
    pause(reason);
}

void ConnectionGate::pause(const std::string& reason)
{
    if (m_dependencies.counters.paused.exchange(true))
        return;
    ++m_dependencies.counters.pauses;
    m_pausedSince = util::BootClock::now();
    if (const auto count = m_pauseLines.record(m_pausedSince))
        m_dependencies.log.write(LogLevel::Warning, logKind,
            { { "event", "accepting-paused" }, { "port", m_dependencies.port }, { "reason", reason },
                { "open", m_registry->table.size() }, { "limit", m_registry->table.limits().total },
                { "count", *count } });
}

void ConnectionGate::resume()
{
    if (!m_dependencies.counters.paused.exchange(false))
        return;
    const auto now = util::BootClock::now();
    if (const auto count = m_resumeLines.record(now))
        m_dependencies.log.write(LogLevel::Warning, logKind,
            { { "event", "accepting-resumed" }, { "port", m_dependencies.port },
                { "pausedMs", milliseconds(now - m_pausedSince) }, { "open", m_registry->table.size() },
                { "limit", m_registry->table.limits().total }, { "count", *count } });
}

void ConnectionGate::accept(tcp::socket socket)
{
    error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error)
        return;
    const auto address = remote.address().to_string();
    if (!admit(address, static_cast<std::size_t>(socket.native_handle())))
        return;
    ++m_dependencies.counters.accepted;
    auto connection = std::make_unique<TrackedConnection>(m_registry, address);
    m_dependencies.counters.open = m_registry->table.size();
    m_handler(std::move(socket), std::move(connection));
}

bool ConnectionGate::admit(const std::string& address, std::size_t descriptor)
{
    const auto now = util::BootClock::now();
    auto& counters = m_dependencies.counters;
    const auto admission = m_registry->table.admit(address, descriptor, now);
    if (admission.verdict != ConnectionTable::Verdict::Accepted) {
        const bool byAddress = admission.verdict == ConnectionTable::Verdict::RefusedByAddress;
        ++(byAddress ? counters.refusedByAddress : counters.refusedByDescriptors);
        if (const auto count = m_refusalLines.record(now))
            m_dependencies.log.write(LogLevel::Warning, logKind,
                { { "event", "refused" }, { "port", m_dependencies.port },
                    { "reason", byAddress ? "address-limit" : "descriptors" }, { "address", address },
                    { "descriptor", descriptor }, { "open", m_registry->table.size() },
                    { "limit", m_registry->table.limits().total }, { "count", *count } });
        return false;
    }
    if (!admission.closes)
        return true;
    ++counters.closedForRoom.at(static_cast<std::size_t>(admission.closes->stage));
    if (const auto count = m_closeLines.record(now))
        m_dependencies.log.write(LogLevel::Warning, logKind,
            { { "event", "closed-for-room" }, { "port", m_dependencies.port },
                { "stage", toString(admission.closes->stage) },
                { "stalledMs", milliseconds(admission.closes->stalled) }, { "for", address },
                { "open", m_registry->table.size() }, { "limit", m_registry->table.limits().total },
                { "count", *count } });
    m_registry->close(admission.closes->id);
    return true;
}

} // namespace tarragonhaven
