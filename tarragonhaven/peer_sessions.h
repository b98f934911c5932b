#pragma once

#include "tarragonhaven/listener.h"
#include "tarragonhaven/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// Accepts links from other nodes and keeps their sessions. Only the traffic thread may use it.
class PeerSessions {
public:
    PeerSessions(boost::asio::io_context& io, PeerSessionHost& host, HelloFrame localHello);

    // Opens the listening socket. Returns an error message, or an empty text on success.
    std::string open(const Endpoint& endpoint);
    // Notifies the peers that this node is stopping.
    void stop();
    // Removes sessions that have ended.
    void removeEnded();

private:
    void accept(boost::asio::ip::tcp::socket socket);

    PeerSessionHost& m_host;
    HelloFrame m_localHello;
    Listener m_listener;
    std::set<std::weak_ptr<PeerSession>, std::owner_less<>> m_sessions;
};

} // namespace tarragonhaven
