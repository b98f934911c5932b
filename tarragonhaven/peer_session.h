#pragma once

#include "tarragonhaven/guard.h"
#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/peer_link.h"

#include <functional>
#include <memory>
#include <string>

namespace tarragonhaven {

// What a peer session needs of its node.
class PeerHost {
public:
    virtual ~PeerHost() = default;
    virtual Guard& guard() = 0;
    // The published value of this name at the revision in force.
    virtual ValueFrame value(const std::string& name) = 0;
    virtual void peerEnded(const std::string& peer, const std::string& why) = 0;
};

// Serves one link from another node: requests for targets that this node guards, and published values. It is
// the asking side of a relay to a guarded target.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
    PeerSession(PeerHost& host, std::shared_ptr<PeerLink> link);

    void start();
    // Says goodbye and serves on until the peer closes the link.
    void stop();
    void close();

    void readBody(std::function<void(bool, BodyChunk)> handler);
    void onOpened(std::function<void(bool)> handler);
    void writeHead(const ResponseHead& head, std::function<void(bool)> handler);
    void writeBody(BodyChunk chunk, std::function<void(bool)> handler);
    void refuse(const Refusal& refusal);
    void abort(const Refusal& refusal);
    void finish();

private:
    void next();
    void handle(const PeerFrame& frame);
    void handleOpen(const OpenFrame& frame);
    void watchEntry();
    void sendRefusal(const Refusal& refusal);
    void end();

    PeerHost& m_host;
    std::shared_ptr<PeerLink> m_link;
    std::shared_ptr<GuardExchange> m_exchange;
    std::shared_ptr<GuardedTarget> m_target;
    std::string m_requestId;
    bool m_bodyDue = false;
    bool m_stopping = false;
    bool m_busy = false;
};

} // namespace tarragonhaven
