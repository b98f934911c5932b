#include "tarragonhaven/peer_session.h"

#include "tarragonhaven/frame_timeout.h"
#include "tarragonhaven/relay.h"

#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration helloTimeout = std::chrono::seconds(5);
    // The time after which a link without requests is closed.
    constexpr util::Duration idleTimeout = std::chrono::minutes(10);
    // The time limit for the next frame of a body that no deadline bounds.
    constexpr util::Duration bodyIdleTimeout = std::chrono::seconds(30);
    // The time limit for writing a frame that belongs to no request in progress.
    constexpr util::Duration writeTimeout = std::chrono::seconds(3);

} // namespace

PeerSession::PeerSession(
    PeerSessionHost& host, std::shared_ptr<PeerLink> link, std::unique_ptr<TrackedConnection> tracked)
    : m_host(host)
    , m_link(std::move(link))
    , m_tracked(std::move(tracked))
{
}

void PeerSession::start()
{
    m_tracked->onClose([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
    m_link->accept(helloTimeout, [self = shared_from_this()](bool accepted) {
        if (!accepted)
            return self->disconnect();
        self->readNextRequest();
    });
}

void PeerSession::stop()
{
    m_stopping = true;
    if (!m_requestActive)
        m_link->write(GoodbyeFrame {}, writeTimeout, [self = shared_from_this()](bool) {});
}

void PeerSession::close()
{
    m_link->close();
    m_exchange.reset();
    m_requestActive = false;
}

void PeerSession::readNextRequest()
{
    m_link->stopWatch();
    m_exchange.reset();
    m_requestActive = false;
    m_tracked->setStage(ConnectionStage::Idle);
    m_link->read(idleTimeout, [self = shared_from_this()](std::optional<PeerFrame> frame) {
        if (!frame)
            return self->disconnect();
        self->handleFrame(*frame);
    });
}

void PeerSession::handleFrame(const PeerFrame& frame)
{
    if (const auto* open = std::get_if<OpenFrame>(&frame))
        return handleOpenFrame(*open);
    if (const auto* request = std::get_if<ValueRequestFrame>(&frame)) {
        m_link->write(m_host.value(request->name), writeTimeout, [self = shared_from_this()](bool written) {
            if (!written)
                return self->disconnect();
            self->readNextRequest();
        });
        return;
    }
    disconnect();
}

void PeerSession::handleOpenFrame(const OpenFrame& frame)
{
    m_requestActive = true;
    m_tracked->setStage(ConnectionStage::Running);
    m_context = contextOf(frame);
    m_requestBodyPending = frame.head.hasBody;
    m_bodyRequested = false;
    m_responseSent = false;
    m_target = m_host.guard().find({ frame.target });
    if (!m_target)
        return refuse({ RefusalReason::NoTarget, RunState::NotRun, util::Duration {},
            "this node does not guard the target" });
    if (const auto refusal = m_host.guard().containment().refusalFor(m_context.fingerprint))
        return refuse(*refusal);
    m_exchange = std::make_shared<GuardExchange>(m_target, m_context, frame.head);
    if (!m_requestBodyPending)
        watchForEntryDisconnect();
    std::make_shared<Relay<PeerSession, GuardExchange>>(shared_from_this(), m_exchange, frame.head.hasBody)
        ->start();
}

RequestContext PeerSession::contextOf(const OpenFrame& frame) const
{
    RequestContext context;
    context.requestId = frame.requestId;
    context.organisation = { frame.organisation };
    context.idempotent = frame.idempotent;
    context.deadline = util::BootClock::now() + std::chrono::microseconds(frame.remainingUs);
    context.entry = { m_link->peerHello().instance };
    context.callerService = { frame.callerService };
    context.rank = frame.rank;
    context.mayQueue = frame.mayQueue;
    context.deadlineCoversBody = frame.deadlineCoversBody;
    if (frame.queueTimeoutUs > 0)
        context.queueDeadline = util::BootClock::now() + std::chrono::microseconds(frame.queueTimeoutUs);
    context.bypassesBreaker = frame.bypassesBreaker;
    context.knownTargetLimit = frame.knownTargetLimit;
    context.fingerprint = frame.fingerprint;
    context.repeat = frame.repeat;
    return context;
}

util::Duration PeerSession::bodyTimeout() const
{
    return bodyFrameTimeout(m_context, bodyIdleTimeout, util::BootClock::now());
}

// Cancels the request when the entry node closes the link, which it does when its caller disconnects.
void PeerSession::watchForEntryDisconnect()
{
    m_link->watchClose([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onEntryDisconnected();
    });
}

void PeerSession::onEntryDisconnected()
{
    if (!m_exchange)
        return;
    m_exchange->cancel();
    disconnect();
}

void PeerSession::onOpened(std::function<void(bool)> handler)
{
    if (!m_requestBodyPending)
        return handler(true);
    m_bodyRequested = true;
    m_link->write(OpenedFrame { m_context.requestId }, bodyTimeout(), std::move(handler));
}

void PeerSession::readBodyFrame(util::Duration timeout, std::function<void(std::optional<BodyChunk>)> handler)
{
    m_link->read(
        timeout, [self = shared_from_this(), handler = std::move(handler)](std::optional<PeerFrame> frame) {
            auto* body = frame ? std::get_if<BodyFrame>(&*frame) : nullptr;
            if (!body || body->requestId != self->m_context.requestId)
                return handler(std::nullopt);
            self->m_requestBodyPending = !body->chunk.last;
            if (!self->m_requestBodyPending)
                self->watchForEntryDisconnect();
            handler(std::move(body->chunk));
        });
}

void PeerSession::readBody(std::function<void(bool, BodyChunk)> handler)
{
    readBodyFrame(bodyTimeout(),
        [self = shared_from_this(), handler = std::move(handler)](std::optional<BodyChunk> chunk) {
            if (!chunk) {
                handler(false, {});
                return self->disconnect();
            }
            handler(true, std::move(*chunk));
        });
}

// The peer may stop sending while it reads the response, whose frames have time limits of their own.
void PeerSession::discardBody()
{
    m_discardingBody = true;
    const auto timeout = bodyFrameTimeout(m_context, idleTimeout, util::BootClock::now());
    readBodyFrame(timeout, [self = shared_from_this()](const std::optional<BodyChunk>& chunk) {
        if (!chunk)
            return self->onEntryDisconnected();
        if (self->m_requestBodyPending)
            return self->discardBody();
        self->m_discardingBody = false;
        if (self->m_responseSent)
            self->endRequest();
    });
}

void PeerSession::writeHead(const ResponseHead& head, std::function<void(bool)> handler)
{
    if (m_bodyRequested && m_requestBodyPending)
        discardBody();
    m_link->write(
        ResponseFrame { m_context.requestId, head, m_target->report() }, bodyTimeout(), std::move(handler));
}

void PeerSession::writeBody(BodyChunk chunk, std::function<void(bool)> handler)
{
    m_link->write(BodyFrame { m_context.requestId, std::move(chunk) }, bodyTimeout(), std::move(handler));
}

void PeerSession::refuse(const Refusal& refusal) { sendRefusal(refusal); }

void PeerSession::abort(const Refusal& refusal) { sendRefusal(refusal); }

void PeerSession::sendRefusal(const Refusal& refusal)
{
    if (m_bodyRequested && m_requestBodyPending && !m_discardingBody)
        discardBody();
    const auto report = m_target ? m_target->report() : TargetReport {};
    m_link->write(toRefusedFrame(m_context.requestId, refusal, report), writeTimeout,
        [self = shared_from_this()](bool written) {
            if (!written)
                return self->disconnect();
            self->finish();
        });
}

void PeerSession::finish()
{
    m_responseSent = true;
    if (!m_discardingBody)
        endRequest();
}

void PeerSession::endRequest()
{
    if (m_stopping) {
        m_link->write(GoodbyeFrame {}, writeTimeout, [self = shared_from_this()](bool written) {
            if (!written)
                return self->disconnect();
            self->readNextRequest();
        });
        return;
    }
    readNextRequest();
}

void PeerSession::disconnect()
{
    m_requestActive = false;
    m_discardingBody = false;
    m_host.peerDisconnected(m_link->peerHello().instance, m_link->error());
    m_link->close();
}

} // namespace tarragonhaven
