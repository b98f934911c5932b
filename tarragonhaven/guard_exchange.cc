// A request that is not idempotent uses a new connection or one that was used a moment ago. The target may be
// closing an older connection because of its age, and a failure on such a connection would leave unknown
// whether the request ran.

#include "tarragonhaven/guard_exchange.h"

#include "tarragonhaven/response_check.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr int firstServerErrorStatus = 500;
    // Added to the request's deadline, because a target that gives up at the deadline reports this a moment
    // later.
    constexpr util::Duration responseGrace = std::chrono::milliseconds(60);
    constexpr util::Duration shedRetryAfter = std::chrono::milliseconds(500);

    void addField(RequestHead& head, const std::string& name, const std::string& value)
    {
        if (!name.empty() && !value.empty())
            head.fields.push_back({ name, value });
    }

    TargetResult toTargetResult(const Outcome<ResponseHead>& head)
    {
        if (head)
            return head->status >= firstServerErrorStatus ? TargetResult::SoftFailure : TargetResult::Success;
        if (head.error().reason == RefusalReason::TargetShed)
            return TargetResult::NoEvidence;
        return head.error().reason == RefusalReason::TargetTimeout ? TargetResult::SoftFailure
                                                                   : TargetResult::HardFailure;
    }

} // namespace

GuardExchange::GuardExchange(std::shared_ptr<GuardedTarget> target, RequestContext context, RequestHead head)
    : m_target(std::move(target))
    , m_context(std::move(context))
    , m_head(std::move(head))
{
}

GuardExchange::~GuardExchange() { release(false); }

void GuardExchange::onSlotResult(const Outcome<void>& slotResult)
{
    const auto now = util::BootClock::now();
    m_record.queueTime = now - std::exchange(m_stageStart, now);
    if (!slotResult)
        reportAttempt(0, slotResult.error());
}

void GuardExchange::reportAttempt(int status, std::optional<Refusal> refusal)
{
    const auto& onAttempt = m_target->options().onAttempt;
    if (!onAttempt || m_stageStart == util::Time {} || std::exchange(m_attemptReported, true))
        return;
    m_record.status = status;
    m_record.refusal = std::move(refusal);
    onAttempt(m_record);
}

void GuardExchange::reportEnd(const std::optional<Refusal>& failure) const
{
    const auto& options = m_target->options();
    if (!failure && options.onAnswered)
        options.onAnswered(m_context.fingerprint);
    if (failure && failure->reason == RefusalReason::TargetFailed && options.onConnectionLost)
        options.onConnectionLost(m_target, m_context.fingerprint);
}

void GuardExchange::open(OutcomeHandler<void> handler)
{
    m_stageStart = util::BootClock::now();
    m_record = { m_context.requestId, m_context.fingerprint, m_target->target().name, m_context.entry,
        m_context.idempotent, m_context.rank == internalRequestRank, m_target->target().slots,
        m_target->slotsInUse(), m_target->waiting() };
    m_record.knownLimit = m_target->requestLimit();
    m_record.coldPace = m_target->coldPace();
    m_ticket = m_target->acquireSlot(
        m_context, [self = shared_from_this(), handler = std::move(handler)](Outcome<void> slotResult) {
            if (self->m_cancelled)
                return;
            self->onSlotResult(slotResult);
            if (!slotResult) {
                self->m_ticket = 0;
                return handler(tl::unexpected(slotResult.error()));
            }
            self->connect(handler);
        });
}

void GuardExchange::connect(OutcomeHandler<void> handler)
{
    const auto& options = m_target->options();
    m_connection = m_target->takeIdleConnection(
        m_context.idempotent ? options.maximumIdleTime : options.maximumIdleTimeNonIdempotent);
    if (m_connection) {
        boost::asio::post(m_target->io(), [self = shared_from_this(), handler = std::move(handler)] {
            if (!self->m_cancelled)
                handler({});
        });
        return;
    }
    m_connection = std::make_unique<TargetConnection>(m_target->io(),
        TargetConnectionOptions {
            options.allowUnframedResponses, options.headerNames.requestId, options.unresponsiveTimeout });
    m_connection->connect(m_target->target().address, options.connectTimeout,
        [self = shared_from_this(), handler = std::move(handler)](Outcome<void> connected) {
            const auto now = util::BootClock::now();
            self->m_record.connectTime = now - std::exchange(self->m_stageStart, now);
            if (!connected) {
                self->reportAttempt(0, connected.error());
                self->m_target->recordConnectFailure();
                self->release(false);
            }
            handler(std::move(connected));
        });
}

RequestHead GuardExchange::headForTarget() const
{
    const auto& headerNames = m_target->options().headerNames;
    auto head = m_head;
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.deadline - util::BootClock::now());
    addField(head, headerNames.deadline, std::to_string(std::max<std::int64_t>(1, remaining.count())));
    addField(head, headerNames.expectedTarget, m_target->target().name.text);
    addField(head, headerNames.organisation, m_context.organisation.text);
    addField(head, headerNames.callerService, m_context.callerService.text);
    return head;
}

template <typename T> void GuardExchange::postUnsent(OutcomeHandler<T> handler)
{
    boost::asio::post(m_target->io(), [self = shared_from_this(), handler = std::move(handler)] {
        if (!self->m_cancelled)
            handler(tl::unexpected(*self->m_unsent));
    });
}

void GuardExchange::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    if (!m_requestBegun)
        m_unsent = m_target->refusalBeforeSend(m_ticket);
    if (m_unsent)
        return postUnsent<void>(std::move(handler));
    if (!m_requestBegun) {
        m_requestBegun = true;
        m_sentAt = util::BootClock::now();
        m_target->recordSent(m_ticket, m_context.repeat);
        m_connection->beginRequest(headForTarget(), m_context.requestId, m_context.deadline + responseGrace,
            m_context.deadlineCoversBody);
    }
    m_connection->writeBody(std::move(chunk), std::move(handler));
}

void GuardExchange::readHead(OutcomeHandler<ResponseHead> handler)
{
    if (m_unsent) {
        reportAttempt(0, m_unsent);
        release(false);
        return postUnsent<ResponseHead>(std::move(handler));
    }
    m_connection->readHead(
        [self = shared_from_this(), handler = std::move(handler)](Outcome<ResponseHead> head) {
            head = self->checkedHead(std::move(head));
            self->onHead(head);
            handler(std::move(head));
        });
}

Outcome<ResponseHead> GuardExchange::checkedHead(Outcome<ResponseHead> head)
{
    if (!head)
        return head;
    const auto& headerNames = m_target->options().headerNames;
    const auto check = checkResponse(*head, m_context.requestId, headerNames,
        m_connection->hasEarlierResponses() ? ConnectionUse::Reused : ConnectionUse::First);
    if (check.fromTarget) {
        m_record.notice = parseTargetNotice(*head, headerNames);
        m_target->recordNotice(m_record.notice);
    }
    switch (check.verdict) {
    case ResponseVerdict::Valid:
        return head;
    case ResponseVerdict::NotRun:
        return tl::unexpected(
            Refusal { RefusalReason::TargetShed, RunState::NotRun, shedRetryAfter, check.detail });
    case ResponseVerdict::Mismatched:
    case ResponseVerdict::Invalid:
        break;
    }
    return tl::unexpected(
        Refusal { RefusalReason::TargetBadFraming, RunState::Unknown, util::Duration {}, check.detail });
}

void GuardExchange::onHead(const Outcome<ResponseHead>& head)
{
    const auto now = util::BootClock::now();
    m_target->recordResult(m_ticket, toTargetResult(head), now - m_sentAt);
    m_record.timeToFirstByte = now - m_sentAt;
    reportAttempt(head ? head->status : 0, head ? std::nullopt : std::optional(head.error()));
    if (!head || !head->hasBody) {
        reportEnd(head ? std::nullopt : std::optional(head.error()));
        release(head.has_value());
    }
}

void GuardExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    m_connection->readBody(
        [self = shared_from_this(), handler = std::move(handler)](Outcome<BodyChunk> chunk) {
            if (!chunk)
                self->m_target->recordResult(self->m_ticket, TargetResult::HardFailure);
            if (!chunk || chunk->last) {
                self->reportEnd(chunk ? std::nullopt : std::optional(chunk.error()));
                self->release(chunk.has_value());
            }
            handler(std::move(chunk));
        });
}

void GuardExchange::cancel()
{
    m_cancelled = true;
    if (m_ticket != 0)
        m_target->recordAbandoned(m_ticket);
    release(false);
}

void GuardExchange::release(bool keepConnection)
{
    reportAttempt(0, std::nullopt);
    if (m_connection && keepConnection)
        m_target->storeIdleConnection(std::move(m_connection));
    m_connection.reset();
    if (m_ticket != 0)
        m_target->releaseSlot(std::exchange(m_ticket, 0));
}

} // namespace tarragonhaven
