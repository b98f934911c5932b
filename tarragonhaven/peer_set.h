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
    PeerSet(boost::asio::io_context& io, PeerHost& host, HelloFrame self);

    // Opens the listening socket. Returns an empty text, or why that failed.
    std::string open(const Endpoint& endpoint);
    // Tells the other ends that this node stops.
    void stop();
    // Forgets links that have ended.
    void tidy();

private:
    void accept(boost::asio::ip::tcp::socket socket);

    PeerHost& m_host;
    HelloFrame m_self;
    Listener m_listener;
    std::set<std::weak_ptr<PeerSession>, std::owner_less<>> m_sessions;
};

} // namespace tarragonhaven
