#pragma once

#include "tarragonhaven/exchange.h"
#include "tarragonhaven/peer_pool.h"
#include "tarragonhaven/request_context.h"

#include <functional>
#include <memory>

namespace tarragonhaven {

// The exchange of one request with a target that another node guards, over a link to that node. Every frame
// of the exchange holds the id of the request. A frame of another request is a failure of the link, never a
// response. Failures of the link are reported as refusals that state whether the request was run:
// PeerUnreachable if it certainly was not, otherwise PeerLost.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
public:
    using ReportHandler = std::function<void(const TargetReport&)>;

    PeerExchange(PeerPool& pool, Instance peer, TargetName target, RequestContext context, RequestHead head,
        ReportHandler onReport);
    ~PeerExchange();
    PeerExchange(const PeerExchange&) = delete;
    PeerExchange& operator=(const PeerExchange&) = delete;

    void open(OutcomeHandler<void> handler);
    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler);
    void readHead(OutcomeHandler<ResponseHead> handler);
    void readBody(OutcomeHandler<BodyChunk> handler);
    void cancel();

private:
    void sendOpen(OutcomeHandler<void> handler);
    void awaitOpened(const OutcomeHandler<void>& handler);
    [[nodiscard]] OpenFrame makeOpenFrame() const;
    [[nodiscard]] util::Duration remaining() const;
    // Return the time limits for the next frame: up to the head of the response, and of a body.
    [[nodiscard]] util::Duration headTimeout() const;
    [[nodiscard]] util::Duration bodyTimeout() const;
    void failLater(const char* reason, OutcomeHandler<BodyChunk> handler);
    // Returns whether the rest of the request body is of no use, since the peer has ended the request.
    [[nodiscard]] bool mayStopSending();
    Refusal refusalFrom(const std::optional<PeerFrame>& frame, RunState runStateIfLost);
    void readFrame(util::Duration timeout, PeerLink::FrameHandler handler);
    // Returns the link to the pool if the response is complete and the request was sent completely.
    void releaseLinkAfterLast(bool last);
    // Returns the link to the pool, unless the peer is stopping.
    void releaseLink();

    PeerPool& m_pool;
    Instance m_peer;
    TargetName m_target;
    RequestContext m_context;
    RequestHead m_head;
    ReportHandler m_onReport;
    std::shared_ptr<PeerLink> m_link;
    bool m_cancelled = false;
    bool m_requestSent = false;
    bool m_bodyStarted = false;
    std::size_t m_sentBodyBytes = 0;
    bool m_peerStopping = false;
};

} // namespace tarragonhaven
