#pragma once

#include "tarragonhaven/caller_session.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/listener.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// The callers' connections of a node. Belongs to the traffic thread.
class CallerSessions {
public:
    CallerSessions(boost::asio::io_context& io, Entry& entry, std::uint32_t maximumConnections);

    // Opens the listening socket. Returns an empty text, or why that failed.
    std::string open(const Endpoint& endpoint);
    // Takes no new connections.
    void closeListener() { m_listener.close(); }
    // Lets every connection end after its next answer.
    void closeAfterResponses();
    // Ends the connections that have no request under way, or all.
    void closeIdle();
    // Answers the requests under way at once, as far as their answers have not begun.
    void abandonRequests();
    void closeAll();

    [[nodiscard]] bool empty() const { return m_sessions.empty(); }
    // Whether a request is under way.
    [[nodiscard]] bool busy() const;

private:
    void accept(boost::asio::ip::tcp::socket socket);

    Entry& m_entry;
    std::uint32_t m_maximumConnections;
    Listener m_listener;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
};

} // namespace tarragonhaven
