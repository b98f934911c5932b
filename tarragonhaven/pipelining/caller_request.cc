#include "tarragonhaven/pipelining/caller_request.h"

#include "tarragonhaven/pipelining/caller_session.h"
#include "tarragonhaven/pipelining/refusal_response.h"
#include "tarragonhaven/relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;

    // Longer than the grace of frames between nodes, so that what other nodes say of a request goes first.
    constexpr util::Duration deadlineGrace = std::chrono::milliseconds(250);
    // Within this time stalled connections are closed, and bodies that arrive have mostly been sent on.
    constexpr util::Duration memoryRetryAfter = std::chrono::seconds(2);
    // A body is read up to this size before a target is chosen.
    constexpr std::size_t prefetchLimitBytes = 64 * 1024;
    // The limit of bytes of a refused request's body that are read and discarded to keep the connection open.
    constexpr std::size_t discardLimitBytes = 256 * 1024;

} // namespace

CallerRequest::CallerRequest(std::shared_ptr<CallerSession> session, RequestPipeline::Number number,
    ReceivedHead received, std::size_t headBytes, bool ahead)
    : m_session(std::move(session))
    , m_number(number)
    , m_received(std::move(received))
    , m_keepsHead(ahead)
    , m_headBytes(headBytes)
    , m_requestId(m_received.refusal ? entry().nextRequestId() : entry().requestIdOf(m_received.head))
    , m_headOnly(m_received.head.method == "HEAD")
    , m_prefetchedBody(*m_session->connection().budget)
    , m_response(*m_session->connection().budget)
    , m_deadlineTimer(m_session->connection().stream.get_executor())
    , m_bodyRemaining(m_received.head.hasBody)
{
    if (m_keepsHead)
        m_session->connection().budget->add(m_headBytes);
    else
        m_session->connection().memory->add(m_headBytes);
}

CallerRequest::~CallerRequest()
{
    if (m_keepsHead)
        m_session->connection().budget->remove(m_headBytes);
    else
        m_session->connection().memory->remove(m_headBytes);
}

Entry& CallerRequest::entry() const { return m_session->connection().entry; }

void CallerRequest::readAhead() { prefetch(); }

void CallerRequest::begin()
{
    m_begun = true;
    if (m_received.refusal)
        return refuse(*m_received.refusal);
    if (m_response.refused() || refusedForMemory() || m_prefetching || !accept())
        return;
    if (m_bodyRemaining && !m_received.expectsContinue && !m_prefetched)
        return prefetch();
    beginExchange();
}

bool CallerRequest::refusedForMemory()
{
    if (!refusesRequest(m_session->connection().memory->pressure(), m_bodyRemaining))
        return false;
    // The rest of the body would take more memory.
    m_closesAfterResponse = m_closesAfterResponse || m_bodyRemaining;
    refuse({ RefusalReason::MemoryExhausted, RunState::NotRun, memoryRetryAfter,
        "the memory that this node holds for callers is near its bound" });
    return true;
}

bool CallerRequest::accept()
{
    auto accepted = entry().accept(m_keepsHead ? RequestHead(m_received.head) : std::move(m_received.head));
    if (!accepted) {
        if (accepted.error().reason == RefusalReason::IdempotencyKeyMissing)
            m_offeredKey = offeredIdempotencyKey(
                m_keepsHead ? std::move(m_received.head) : m_session->reader().latestHead());
        m_session->pipeline().classify(m_number, { true, !m_bodyRemaining });
        refuse(accepted.error());
        return false;
    }
    m_organisation = accepted->context.organisation;
    if (!m_session->pipeline().isFront(m_number) && !acquireAhead()) {
        m_begun = false;
        m_session->pipeline().postpone(m_number);
        return false;
    }
    m_session->connection().memory->assign(m_organisation);
    m_keyDigest = accepted->keyDigest;
    accepted->context.requestId = m_requestId;
    m_idempotencyKeyRequired = accepted->route.idempotencyKeyRule == IdempotencyKeyRule::Required;
    m_accepted = std::move(*accepted);
    m_received.head = {};
    return true;
}

bool CallerRequest::acquireAhead()
{
    m_reservedBytes = m_session->reserveAhead(m_organisation);
    if (m_reservedBytes == 0)
        return false;
    entry().dependencies().log.write(LogLevel::Info, "pipeline",
        { { "request", m_requestId }, { "event", "started-ahead" }, { "front", m_session->frontRequestId() },
            { "organisation", m_organisation.text }, { "reservedBytes", m_reservedBytes },
            { "heldBytes", m_session->connection().budget->heldBytes() } });
    return true;
}

void CallerRequest::releaseAhead()
{
    if (m_reservedBytes > 0)
        m_session->releaseAhead(m_organisation, std::exchange(m_reservedBytes, 0));
}

// Returns a new idempotency key for the organisation that sent the request without one, or an empty text.
std::string CallerRequest::offeredIdempotencyKey(RequestHead head) const
{
    const auto key = extractKey(head, entry().dependencies().options.headerNames.keyScheme);
    const auto* organisation = entry().configuration()->organisationForKey(
        key ? Entry::digestOf(*key) : std::string(), util::wallSeconds());
    return organisation ? entry().dependencies().admission.issueIdempotencyKey(organisation->name)
                        : std::string();
}

// Reads a small body completely before the request queues anywhere, since the session can only detect that
// the caller disconnects when the whole request has been read.
void CallerRequest::prefetch()
{
    m_prefetching = true;
    readChunk([this](BodyChunk chunk) {
        if (m_response.refused())
            return;
        m_prefetchedBody.append(std::move(chunk));
        // Goes on under backpressure: a request whose body is not complete would hold a slot of a target.
        const auto& connection = m_session->connection();
        const bool mayReadMore = m_prefetchedBody.bodyBytes() <= prefetchLimitBytes
            && connection.budget->heldBytes() + bodyChunkBytes <= connection.options.pipeline.heldBytes
            && entry().bodyBudget().allows(bodyChunkBytes);
        if (m_prefetchedBody.hasEnd() || !mayReadMore)
            return onPrefetched();
        prefetch();
    });
}

void CallerRequest::onPrefetched()
{
    m_prefetching = false;
    m_prefetched = true;
    if (!m_begun) {
        m_session->pipeline().classify(m_number, { true, !m_bodyRemaining });
        return m_session->proceed();
    }
    if (m_accepted || accept())
        beginExchange();
}

void CallerRequest::beginExchange()
{
    const bool hasBody = m_accepted->head.hasBody;
    auto& context = m_accepted->context;
    // The body of a request that waits for "100 Continue" is not known yet.
    if (!m_bodyRemaining || !m_received.expectsContinue)
        context.fingerprint = fingerprintOf(context.service, context.organisation, m_accepted->head,
            m_prefetchedBody.prefix(fingerprintBodyBytes + 1));
    if (context.deadlineCoversBody)
        startDeadlineTimer(context.deadline);
    m_session->pipeline().classify(
        m_number, { context.idempotent && !m_idempotencyKeyRequired, !m_bodyRemaining });
    m_exchange
        = std::make_shared<EntryExchange>(entry(), std::move(*m_accepted), m_session->connection().budget);
    m_accepted.reset();
    std::make_shared<Relay<CallerRequest, EntryExchange>>(shared_from_this(), m_exchange, hasBody)->start();
    // The request does not block those behind it any more, if it is idempotent.
    m_session->proceed();
}

void CallerRequest::startDeadlineTimer(util::Time deadline)
{
    const auto remaining = std::max<util::Duration>(deadline - util::BootClock::now(), {});
    m_deadlineTimer.expires_after(remaining + deadlineGrace);
    m_deadlineTimer.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_ended)
            self->onDeadline();
    });
}

// Ends a request that waits for its caller to send or read a part of a body, since it holds a slot meanwhile.
// A response that the exchange has received completely is still delivered.
void CallerRequest::onDeadline()
{
    if (!m_response.arrived())
        return abandon(RefusalReason::QueueTimeout, "not complete at its deadline");
    if (!m_response.refused() && !m_exchange->responseReceived())
        abort({ RefusalReason::TargetTimeout, RunState::Unknown, util::Duration {},
            "the response was not complete at the deadline" });
}

void CallerRequest::abandon(RefusalReason reasonIfNotRun, const char* detail)
{
    // A request whose turn has come gets an exchange as soon as its body has been read.
    const bool beforeExchange = !m_exchange && m_session->pipeline().isFront(m_number);
    if (m_ended || beforeExchange || m_response.arrived())
        return;
    const auto run = m_exchange && m_exchange->mayHaveRun() ? RunState::Unknown : RunState::NotRun;
    if (m_exchange)
        m_exchange->cancel();
    // The rest of the body cannot be discarded while a part of it is being read.
    m_closesAfterResponse = m_closesAfterResponse || m_bodyRemaining;
    refuse({ run == RunState::NotRun ? reasonIfNotRun : RefusalReason::TargetTimeout, run, util::Duration {},
        detail });
}

void CallerRequest::onBodyTimeout()
{
    if (m_response.arrived() || (m_exchange && m_exchange->mayHaveRun()))
        return m_session->end(CloseReason::BodyTimeout);
    if (m_exchange)
        m_exchange->cancel();
    // The rest of the body cannot be discarded while a part of it is being read.
    m_closesAfterResponse = true;
    refuse(
        { RefusalReason::BodyTooSlow, RunState::NotRun, util::Duration {}, "the body arrived too slowly" });
}

void CallerRequest::end()
{
    m_ended = true;
    m_deadlineTimer.cancel();
    m_onWritten = nullptr;
    m_prefetchedBody.clear();
    m_response.clear();
    m_exchange.reset();
    releaseAhead();
}

void CallerRequest::cancel()
{
    if (const auto exchange = m_exchange)
        exchange->cancel();
    end();
}

void CallerRequest::logCallerDisconnected() const
{
    if (!m_bodyRemaining && !m_response.refused())
        entry().logCallerDisconnected(m_requestId);
}

void CallerRequest::readChunk(std::function<void(BodyChunk)> handler)
{
    m_session->reader().readBody(
        [self = shared_from_this(), handler = std::move(handler)](error_code error, BodyChunk chunk) {
            if (self->m_ended)
                return;
            self->m_session->recordProgress();
            if (error && RequestReader::isConnectionLost(error))
                return self->m_session->onReadingEnded(CloseReason::Disconnected);
            if (error)
                return self->m_session->rejectUnread(self->m_number);
            const bool last = chunk.last;
            self->m_bodyRemaining = !last;
            handler(std::move(chunk));
            if (last)
                self->m_session->proceed();
        });
    m_session->updateStage();
}

void CallerRequest::readBody(std::function<void(bool, BodyChunk)> handler)
{
    if (m_prefetchedBody.empty())
        return readChunk(
            [handler = std::move(handler)](BodyChunk chunk) { handler(true, std::move(chunk)); });
    auto chunk = m_prefetchedBody.takeFront();
    boost::asio::post(m_session->connection().stream.get_executor(),
        [handler = std::move(handler), chunk = std::move(chunk)]() mutable {
            handler(true, std::move(chunk));
        });
}

void CallerRequest::onOpened(std::function<void(bool)> handler)
{
    if (!m_received.expectsContinue || !m_bodyRemaining)
        return handler(true);
    m_session->writer().writeContinue(
        [self = shared_from_this(), handler = std::move(handler)](bool written) {
            if (!written)
                return self->m_session->end(CloseReason::WriteFailed);
            handler(true);
            self->m_session->proceed();
        });
}

void CallerRequest::writeHead(const ResponseHead& head, std::function<void(bool)> handler)
{
    if (m_ended)
        return;
    m_response.setHead(head);
    continueWhenWritten(std::move(handler));
}

void CallerRequest::writeBody(BodyChunk chunk, std::function<void(bool)> handler)
{
    if (m_ended)
        return;
    m_responseBytes += chunk.data.size();
    m_session->responseSize().recordAtLeast(m_responseBytes);
    m_response.append(std::move(chunk));
    continueWhenWritten(std::move(handler));
}

void CallerRequest::continueWhenWritten(std::function<void(bool)> handler)
{
    const bool mayHoldMore = m_responseBytes < m_reservedBytes || m_session->mayHoldMore();
    if (!m_session->pipeline().isFront(m_number) && mayHoldMore)
        return handler(true);
    m_onWritten = std::move(handler);
    m_session->proceed();
}

void CallerRequest::refuse(const Refusal& refusal)
{
    if (m_ended || m_response.refused())
        return;
    entry().logRefusal(m_requestId, m_organisation, refusal);
    m_prefetchedBody.clear();
    m_onWritten = nullptr;
    m_response.refuse(refusal);
    m_session->proceed();
}

void CallerRequest::abort(const Refusal& refusal)
{
    if (m_ended || m_response.refused())
        return;
    // Nothing of the response has been sent, so that the caller can be told what happened.
    if (!m_response.begun()) {
        m_exchange->cancel();
        return refuse(refusal);
    }
    entry().dependencies().metrics.recordTruncatedResponse();
    entry().logRefusal(m_requestId, m_organisation, refusal);
    m_session->closeAfter(m_number);
    m_session->end(CloseReason::ResponseTruncated);
}

void CallerRequest::finish()
{
    if (m_ended)
        return;
    m_response.setEnd();
    m_session->responseSize().record(m_responseBytes);
    m_session->proceed();
}

void CallerRequest::write()
{
    switch (m_response.next()) {
    case PendingResponse::Part::None:
        if (m_onWritten)
            std::exchange(m_onWritten, nullptr)(true);
        return;
    case PendingResponse::Part::Refusal:
        return writeRefusal();
    case PendingResponse::Part::Head:
        return writeResponseHead();
    case PendingResponse::Part::Chunk:
        return writeChunk();
    case PendingResponse::Part::End:
        return m_session->onAnswered(m_closeAnnounced);
    }
}

void CallerRequest::announceClose(bool closes)
{
    m_closeAnnounced = closes || m_closesAfterResponse || m_session->pipeline().closesAfterFront();
    if (m_closeAnnounced)
        m_session->closeAfter(m_number);
}

void CallerRequest::writeRefusal()
{
    announceClose(m_bodyRemaining && m_received.expectsContinue);
    const auto refusal = m_response.takeRefusal();
    m_session->writer().writeRefusal(
        toResponse(refusal, { m_requestId, m_offeredKey, m_headOnly, !m_closeAnnounced },
            entry().dependencies().options.headerNames),
        [self = shared_from_this()](bool written) {
            if (!written)
                return self->m_session->end(CloseReason::WriteFailed);
            self->discardBody();
        });
}

void CallerRequest::discardBody()
{
    if (!m_bodyRemaining || m_closeAnnounced)
        return m_session->onAnswered(m_closeAnnounced);
    if (m_discardedBytes > discardLimitBytes)
        return m_session->end(CloseReason::DiscardLimit);
    readChunk([this](const BodyChunk& chunk) {
        m_discardedBytes += chunk.data.size();
        discardBody();
    });
}

void CallerRequest::writeResponseHead()
{
    if (m_reservedBytes > 0 && !entry().isStillAccepted(m_keyDigest))
        return abort({ RefusalReason::KeyNotAccepted, RunState::Ran, util::Duration {},
            "the key was revoked before the response was sent" });
    announceClose(m_bodyRemaining);
    std::string nextKey;
    if (m_idempotencyKeyRequired && !m_organisation.text.empty())
        nextKey = entry().dependencies().admission.issueIdempotencyKey(m_organisation);
    m_session->writer().writeHead(m_response.takeHead(), { m_requestId, nextKey, !m_closeAnnounced },
        [self = shared_from_this()](bool written) { self->onWritten(written); });
}

void CallerRequest::writeChunk()
{
    if (!entry().isStillAccepted(m_keyDigest))
        return abort({ RefusalReason::KeyNotAccepted, RunState::Ran, util::Duration {},
            "the key was revoked while the response was being sent" });
    m_session->writer().writeChunk(
        m_response.takeChunk(), [self = shared_from_this()](bool written) { self->onWritten(written); });
}

void CallerRequest::onWritten(bool written)
{
    if (!written)
        return m_session->end(CloseReason::WriteFailed);
    m_session->recordProgress();
    m_session->proceed();
}

} // namespace tarragonhaven
