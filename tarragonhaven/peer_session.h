#pragma once

#include "tarragonhaven/guard.h"
#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/memory/tracked_connection.h"
#include "tarragonhaven/peer_link.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tarragonhaven {

// The interface of the node that a PeerSession uses.
class PeerSessionHost {
public:
    virtual ~PeerSessionHost() = default;
    virtual Guard& guard() = 0;
    // Returns the published value of this name at the revision in force.
    virtual ValueFrame value(const std::string& name) = 0;
    // Called when the link to `peer` has ended, because of `reason`.
    virtual void peerDisconnected(const std::string& peer, const std::string& reason) = 0;
};

// Serves one link from another node: requests to targets that this node guards, and published values of the
// configuration. It is the downstream side of a Relay to a guarded target. The session ends, and cancels the
// request in progress, if the peer closes the link or sends an unexpected frame. If a request ends before its
// body has arrived, the rest of the body is read and dropped: closing the link would reset it, and the peer
// would lose the response.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
    PeerSession(
        PeerSessionHost& host, std::shared_ptr<PeerLink> link, std::unique_ptr<TrackedConnection> tracked);

    // Waits for the HelloFrame of the peer and serves its requests.
    void start();
    // Sends a GoodbyeFrame when no request is in progress, and continues to serve until the peer closes the
    // link.
    void stop();
    // Closes the link and drops the request in progress.
    void close();
    // Returns whether a request is in progress: it is being received or run, or its response is being sent.
    [[nodiscard]] bool busy() const { return m_requestActive; }

    // The functions of the Downstream concept.
    void readBody(std::function<void(bool, BodyChunk)> handler);
    void onOpened(std::function<void(bool)> handler);
    void writeHead(const ResponseHead& head, std::function<void(bool)> handler);
    void writeBody(BodyChunk chunk, std::function<void(bool)> handler);
    void refuse(const Refusal& refusal);
    void abort(const Refusal& refusal);
    void finish();

private:
    void readNextRequest();
    void handleFrame(const PeerFrame& frame);
    void handleOpenFrame(const OpenFrame& frame);
    [[nodiscard]] RequestContext contextOf(const OpenFrame& frame) const;
    [[nodiscard]] util::Duration bodyTimeout() const;
    void watchForEntryDisconnect();
    // Cancels the request because the entry node has closed the link.
    void onEntryDisconnected();
    // Reads the next frame of the request body. Passes nothing on if it is another frame, or if the link
    // fails or the frame does not arrive in time.
    void readBodyFrame(util::Duration timeout, std::function<void(std::optional<BodyChunk>)> handler);
    // Reads and drops what is left of the request body, while the response is being sent.
    void discardBody();
    void endRequest();
    void sendRefusal(const Refusal& refusal);
    void disconnect();

    PeerSessionHost& m_host;
    std::shared_ptr<PeerLink> m_link;
    std::unique_ptr<TrackedConnection> m_tracked;
    std::shared_ptr<GuardExchange> m_exchange;
    std::shared_ptr<GuardedTarget> m_target;
    // The request in progress, or the latest one.
    RequestContext m_context;
    bool m_requestBodyPending = false;
    // Whether the peer has been told to send the request body.
    bool m_bodyRequested = false;
    bool m_discardingBody = false;
    bool m_responseSent = false;
    bool m_stopping = false;
    bool m_requestActive = false;
};

} // namespace tarragonhaven
