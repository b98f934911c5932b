// The point at which a link fails decides whether the request is reported as "not run" or "unknown". The
// guard node starts a request that has a body at the first BodyFrame, so a failure before that means "not
// run". It starts a request without a body as soon as it has read the OpenFrame, so a failure after the
// complete frame was written means "unknown".

#include "tarragonhaven/peer_exchange.h"

#include "tarragonhaven/body_buffer.h"
#include "tarragonhaven/frame_timeout.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // The time limit for the next frame of a body that no deadline bounds. Longer than that of the guard
    // node, so that its refusal arrives first.
    constexpr util::Duration bodyIdleTimeout = std::chrono::seconds(35);

    Refusal linkFailure(RunState run, const std::string& detail)
    {
        return { run == RunState::NotRun ? RefusalReason::PeerUnreachable : RefusalReason::PeerLost, run,
            util::Duration {}, detail };
    }

} // namespace

PeerExchange::PeerExchange(PeerPool& pool, Instance peer, TargetName target, RequestContext context,
    RequestHead head, ReportHandler onReport)
    : m_pool(pool)
    , m_peer(std::move(peer))
    , m_target(std::move(target))
    , m_context(std::move(context))
    , m_head(std::move(head))
    , m_onReport(std::move(onReport))
{
}

PeerExchange::~PeerExchange() { cancel(); }

void PeerExchange::cancel()
{
    m_cancelled = true;
    if (m_link)
        m_link->close();
}

util::Duration PeerExchange::remaining() const
{
    return std::max<util::Duration>(
        m_context.deadline - util::BootClock::now(), std::chrono::milliseconds(1));
}

util::Duration PeerExchange::headTimeout() const
{
    return headFrameTimeout(m_context, util::BootClock::now());
}

util::Duration PeerExchange::bodyTimeout() const
{
    return bodyFrameTimeout(m_context, bodyIdleTimeout, util::BootClock::now());
}

OpenFrame PeerExchange::makeOpenFrame() const
{
    const auto now = util::BootClock::now();
    const auto microseconds = [](util::Duration time) {
        return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    };
    OpenFrame frame;
    frame.requestId = m_context.requestId;
    frame.organisation = m_context.organisation.text;
    frame.target = m_target.text;
    frame.idempotent = m_context.idempotent;
    frame.remainingUs = microseconds(remaining());
    frame.head = m_head;
    frame.callerService = m_context.callerService.text;
    frame.rank = m_context.rank;
    frame.mayQueue = m_context.mayQueue;
    frame.deadlineCoversBody = m_context.deadlineCoversBody;
    if (m_context.queueDeadline != util::Time {})
        frame.queueTimeoutUs = std::max<std::int64_t>(1, microseconds(m_context.queueDeadline - now));
    frame.bypassesBreaker = m_context.bypassesBreaker;
    frame.knownTargetLimit = m_context.knownTargetLimit;
    frame.fingerprint = m_context.fingerprint;
    frame.repeat = m_context.repeat;
    return frame;
}

void PeerExchange::open(OutcomeHandler<void> handler)
{
    m_pool.acquire(m_peer,
        [self = shared_from_this(), handler = std::move(handler)](Outcome<std::shared_ptr<PeerLink>> link) {
            if (self->m_cancelled)
                return;
            if (!link)
                return handler(tl::unexpected(link.error()));
            self->m_link = *link;
            self->sendOpen(handler);
        });
}

void PeerExchange::sendOpen(OutcomeHandler<void> handler)
{
    m_link->write(makeOpenFrame(), headTimeout(),
        [self = shared_from_this(), handler = std::move(handler)](bool written) {
            if (!written)
                return handler(tl::unexpected(linkFailure(RunState::NotRun, self->m_link->error())));
            if (self->m_head.hasBody)
                return self->awaitOpened(handler);
            handler({});
        });
}

void PeerExchange::awaitOpened(const OutcomeHandler<void>& handler)
{
    readFrame(headTimeout(), [self = shared_from_this(), handler](std::optional<PeerFrame> frame) {
        const auto* opened = frame ? std::get_if<OpenedFrame>(&*frame) : nullptr;
        if (opened && opened->requestId == self->m_context.requestId)
            return handler({});
        handler(tl::unexpected(self->refusalFrom(frame, RunState::NotRun)));
    });
}

// Reads the next frame of the exchange. A GoodbyeFrame may arrive between the frames; the exchange continues.
void PeerExchange::readFrame(util::Duration timeout, PeerLink::FrameHandler handler)
{
    m_link->read(timeout, [self = shared_from_this(), timeout, handler = std::move(handler)](auto frame) {
        if (!frame || !std::holds_alternative<GoodbyeFrame>(*frame))
            return handler(std::move(frame));
        self->m_peerStopping = true;
        self->readFrame(timeout, handler);
    });
}

void PeerExchange::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    if (!m_head.hasBody) {
        m_requestSent = true;
        boost::asio::post(m_pool.io(), [self = shared_from_this(), handler = std::move(handler)] {
            if (!self->m_cancelled)
                handler({});
        });
        return;
    }
    if (mayStopSending()) {
        boost::asio::post(m_pool.io(), [self = shared_from_this(), handler = std::move(handler)] {
            if (!self->m_cancelled)
                handler(tl::unexpected(
                    linkFailure(RunState::Unknown, "the peer has ended the request before its body")));
        });
        return;
    }
    const bool last = chunk.last;
    m_bodyStarted = true;
    m_sentBodyBytes += chunk.data.size();
    m_link->write(BodyFrame { m_context.requestId, std::move(chunk) }, bodyTimeout(),
        [self = shared_from_this(), last, handler = std::move(handler)](bool written) {
            if (!written)
                return handler(tl::unexpected(linkFailure(RunState::Unknown, self->m_link->error())));
            self->m_requestSent = last;
            handler({});
        });
}

// What arrives between the OpenedFrame and the end of the request body is a response or a refusal. A body
// that is short enough to be kept is sent to its end all the same, so that it can be sent to another target.
bool PeerExchange::mayStopSending() { return m_sentBodyBytes > replayBodyLimitBytes && m_link->hasUnread(); }

void PeerExchange::readHead(OutcomeHandler<ResponseHead> handler)
{
    readFrame(headTimeout(),
        [self = shared_from_this(), handler = std::move(handler)](std::optional<PeerFrame> frame) {
            const auto* response = frame ? std::get_if<ResponseFrame>(&*frame) : nullptr;
            if (!response || response->requestId != self->m_context.requestId)
                return handler(tl::unexpected(self->refusalFrom(frame, RunState::Unknown)));
            self->m_onReport(response->report);
            self->releaseLinkAfterLast(!response->head.hasBody);
            handler(response->head);
        });
}

void PeerExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    if (framesExpired(m_context, util::BootClock::now()))
        return failLater("no end of the response before the deadline", std::move(handler));
    readFrame(bodyTimeout(),
        [self = shared_from_this(), handler = std::move(handler)](std::optional<PeerFrame> frame) {
            auto* body = frame ? std::get_if<BodyFrame>(&*frame) : nullptr;
            if (!body || body->requestId != self->m_context.requestId)
                return handler(tl::unexpected(self->refusalFrom(frame, RunState::Unknown)));
            self->releaseLinkAfterLast(body->chunk.last);
            handler(std::move(body->chunk));
        });
}

// Frames that keep arriving do not let a read time out, so a response without an end would be read for ever.
void PeerExchange::failLater(const char* reason, OutcomeHandler<BodyChunk> handler)
{
    boost::asio::post(m_pool.io(), [self = shared_from_this(), reason, handler = std::move(handler)] {
        if (self->m_cancelled)
            return;
        self->m_link->close();
        handler(tl::unexpected(linkFailure(RunState::Unknown, reason)));
    });
}

// Returns the refusal that `frame` holds, or a link failure if the frame is missing, unexpected or of another
// request. After a refusal the link is reused, unless the transfer of the request body has started.
Refusal PeerExchange::refusalFrom(const std::optional<PeerFrame>& frame, RunState runStateIfLost)
{
    const auto* refused = frame ? std::get_if<RefusedFrame>(&*frame) : nullptr;
    if (refused && refused->requestId == m_context.requestId) {
        m_onReport(refused->report);
        const auto refusal = toRefusal(*refused);
        if (refusal && !m_bodyStarted)
            releaseLink();
        if (refusal)
            return *refusal;
    }
    const std::string reason = frame ? "the peer sent an unexpected frame" : m_link->error();
    m_link->close();
    return linkFailure(runStateIfLost, reason);
}

void PeerExchange::releaseLinkAfterLast(bool last)
{
    if (last && m_requestSent)
        releaseLink();
}

void PeerExchange::releaseLink()
{
    if (!m_peerStopping)
        m_pool.release(m_peer.name, std::exchange(m_link, nullptr));
}

} // namespace tarragonhaven
