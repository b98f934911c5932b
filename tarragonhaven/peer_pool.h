#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace tarragonhaven {

// A pool of open links from this node to other nodes. A link carries one request at a time, so that
// responses cannot be mixed up and the flow control of the socket applies to each request. A link returns
// to the pool if its exchange has ended cleanly. The pool keeps at most 32 idle links for each peer and
// closes the others.
class PeerPool {
public:
    using LinkHandler = OutcomeHandler<std::shared_ptr<PeerLink>>;

    struct Timeouts {
        // For the connection and the exchange of HelloFrames.
        util::Duration connect = std::chrono::seconds(1);
        // The time after which a request no longer waits for a connection, which is completed for later
        // requests. Zero means that it waits for as long as the connection may take.
        util::Duration wait {};
    };

    PeerPool(boost::asio::io_context& io, HelloFrame localHello, Timeouts timeouts);
    PeerPool(boost::asio::io_context& io, HelloFrame localHello,
        util::Duration connectTimeout = std::chrono::seconds(1))
        : PeerPool(io, std::move(localHello), Timeouts { connectTimeout, {} })
    {
    }

    // Passes an idle link to `peer` to the handler, or connects a new one. If the connection fails or takes
    // longer than requests wait for it, the handler receives a refusal with the run state NotRun.
    void acquire(const Instance& peer, LinkHandler handler);
    // Returns a link to the pool.
    void release(const InstanceName& peer, std::shared_ptr<PeerLink> link);
    // Closes the idle links to `peer`; called when the peer is stopping.
    void closeIdle(const InstanceName& peer);

    [[nodiscard]] boost::asio::io_context& io() { return m_io; }

private:
    struct PendingConnect;

    void connect(const Instance& peer, LinkHandler handler);

    boost::asio::io_context& m_io;
    HelloFrame m_localHello;
    Timeouts m_timeouts;
    std::map<InstanceName, std::vector<std::shared_ptr<PeerLink>>> m_idle;
};

} // namespace tarragonhaven
