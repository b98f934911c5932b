#pragma once

#include "tarragonhaven/memory/connection_gate.h"
#include "tarragonhaven/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// Accepts links from other nodes, within limits, and keeps their sessions. Only the traffic thread may use
// it.
class PeerSessions {
public:
    PeerSessions(boost::asio::io_context& io, PeerSessionHost& host, HelloFrame localHello,
        const ConnectionLimits& connections, PortCounters& counters, LogChannel& log);

    // Opens the listening socket. Returns an error message, or an empty text on success.
    std::string open(const Endpoint& endpoint);
    // Notifies the peers that this node is stopping.
    void stop();
    // Returns whether any session has a request in progress.
    [[nodiscard]] bool busy() const;
    // Removes sessions that have ended.
    void removeEnded();

private:
    void accept(boost::asio::ip::tcp::socket socket, std::unique_ptr<TrackedConnection> tracked);

    PeerSessionHost& m_host;
    HelloFrame m_localHello;
    ConnectionGate m_gate;
    std::set<std::weak_ptr<PeerSession>, std::owner_less<>> m_sessions;
};

} // namespace tarragonhaven
