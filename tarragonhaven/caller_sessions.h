#pragma once

#include "tarragonhaven/entry.h"
#include "tarragonhaven/memory/connection_gate.h"
#include "tarragonhaven/pipelining/ahead_budget.h"
#include "tarragonhaven/pipelining/caller_session.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// Accepts the callers' connections of a node, within limits, and owns their sessions. May be used on the
// traffic thread only.
class CallerSessions {
public:
    CallerSessions(boost::asio::io_context& io, Entry& entry, const ConnectionLimits& connections,
        PortCounters& counters, const CallerSessionOptions& options = {});

    // Opens the listening socket. Returns an empty text, or an error message on failure.
    std::string open(const Endpoint& endpoint);
    // Closes connections if the memory that is held for callers is near its bound. Must be called at least
    // ten times a second.
    void relieveMemory();
    // Stops accepting new connections.
    void closeListener() { m_gate.close(); }
    // Closes each connection after its next response.
    void closeAfterResponses();
    // Closes the connections that have no request in progress.
    void closeIdle();
    // Refuses all requests in progress whose responses have not begun.
    void abandonRequests();
    // Closes all connections at once.
    void closeAll();

    [[nodiscard]] const MemoryAccount& memory() const { return *m_memory; }
    [[nodiscard]] bool empty() const { return m_sessions.empty(); }
    // Returns whether any request is in progress.
    [[nodiscard]] bool busy() const;

private:
    void accept(boost::asio::ip::tcp::socket socket, std::unique_ptr<TrackedConnection> tracked);

    void logPressure(MemoryPressure pressure);
    // Counts the end of a connection, and logs it if a limit was the reason.
    void recordEnd(CloseReason reason);

    Entry& m_entry;
    PortCounters& m_counters;
    CallerSessionOptions m_options;
    std::shared_ptr<MemoryAccount> m_memory;
    MemoryPressure m_loggedPressure = MemoryPressure::None;
    LineLimiter m_pressureLines;
    AheadBudget m_aheadBudget;
    ConnectionGate m_gate;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
    std::array<LineLimiter, closeReasonCount> m_endLines;
};

} // namespace tarragonhaven
