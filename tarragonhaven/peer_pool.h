#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace tarragonhaven {

// Kept links from this node to others. A link carries one request at a time, so that answers cannot cross and
// the socket's own flow control sets the pace; it returns to the pool when its exchange has ended cleanly.
class PeerPool {
public:
    using LinkHandler = OutcomeHandler<std::shared_ptr<PeerLink>>;

    PeerPool(boost::asio::io_context& io, HelloFrame localHello,
        util::Duration connectTimeout = std::chrono::seconds(1));

    // Finds or makes a link to `peer`. A refusal is "not run".
    void acquire(const Instance& peer, LinkHandler handler);
    void release(const InstanceName& peer, std::shared_ptr<PeerLink> link);
    // Closes the idle links to a peer that stops.
    void closeIdle(const InstanceName& peer);

    [[nodiscard]] boost::asio::io_context& io() { return m_io; }

private:
    boost::asio::io_context& m_io;
    HelloFrame m_localHello;
    util::Duration m_connectTimeout;
    std::map<InstanceName, std::vector<std::shared_ptr<PeerLink>>> m_idle;
};

} // namespace tarragonhaven
