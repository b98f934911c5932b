#pragma once

#include "tarragonhaven/listener.h"
#include "tarragonhaven/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven {

// The links that other nodes have made to this one. Belongs to the traffic thread.
class PeerSet {
public:
    PeerSet(boost::asio::io_context& io, PeerSessionHost& host, HelloFrame localHello);

    // Opens the listening socket. Returns an empty text, or why that failed.
    std::string open(const Endpoint& endpoint);
    // Tells the other ends that this node stops.
    void stop();
    // Forgets links that have ended.
    void removeEnded();

private:
    void accept(boost::asio::ip::tcp::socket socket);

    PeerSessionHost& m_host;
    HelloFrame m_localHello;
    Listener m_listener;
    std::set<std::weak_ptr<PeerSession>, std::owner_less<>> m_sessions;
};

} // namespace tarragonhaven
