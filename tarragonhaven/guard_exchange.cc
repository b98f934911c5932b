// A request that must not run twice goes over a connection that was used a moment ago or is new: on a
// connection that the target may be closing for its age, a failure would leave unknown whether the request
// ran.

#include "tarragonhaven/guard_exchange.h"

#include "tarragonhaven/answer_check.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr int firstServerErrorStatus = 500;
    // A target that gives up at the deadline says so a moment after it.
    constexpr util::Duration responseGrace = std::chrono::milliseconds(60);
    constexpr util::Duration shedRetryAfter = std::chrono::milliseconds(500);

    void setField(RequestHead& head, const std::string& name, const std::string& value)
    {
        if (!name.empty() && !value.empty())
            head.fields.push_back({ name, value });
    }

    TargetResult resultOf(const Outcome<ResponseHead>& head)
    {
        if (head)
            return head->status >= firstServerErrorStatus ? TargetResult::SoftFailure : TargetResult::Good;
        if (head.error().reason == RefusalReason::TargetShed)
            return TargetResult::Nothing;
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

void GuardExchange::noteEntered(const Outcome<void>& entered)
{
    const auto now = util::BootClock::now();
    m_record.queued = now - std::exchange(m_stageBegan, now);
    if (!entered)
        tell(0, entered.error());
}

void GuardExchange::tell(int status, std::optional<Refusal> refusal)
{
    const auto& onAttempt = m_target->options().onAttempt;
    if (!onAttempt || m_stageBegan == util::Time {} || std::exchange(m_told, true))
        return;
    m_record.status = status;
    m_record.refusal = std::move(refusal);
    onAttempt(m_record);
}

void GuardExchange::open(OutcomeHandler<void> handler)
{
    m_stageBegan = util::BootClock::now();
    m_record = { m_context.requestId, m_target->target().name, m_context.entry, m_context.idempotent,
        m_context.rank == rankOfTargets, m_target->target().slots, m_target->slotsInUse(),
        m_target->waiting() };
    m_ticket = m_target->enter(
        m_context, [self = shared_from_this(), handler = std::move(handler)](Outcome<void> entered) {
            if (self->m_cancelled)
                return;
            self->noteEntered(entered);
            if (!entered) {
                self->m_ticket = 0;
                return handler(tl::unexpected(entered.error()));
            }
            self->connect(handler);
        });
}

void GuardExchange::connect(OutcomeHandler<void> handler)
{
    const auto& options = m_target->options();
    m_connection
        = m_target->takeIdle(m_context.idempotent ? options.idleLimit : options.idleLimitNotIdempotent);
    if (m_connection) {
        boost::asio::post(m_target->io(), [self = shared_from_this(), handler = std::move(handler)] {
            if (!self->m_cancelled)
                handler({});
        });
        return;
    }
    m_connection = std::make_unique<TargetConnection>(m_target->io(),
        TargetConnectionOptions { options.unframedAnswers, options.dialect.requestId, options.silence });
    m_connection->connect(m_target->target().address, options.connectTimeout,
        [self = shared_from_this(), handler = std::move(handler)](Outcome<void> connected) {
            const auto now = util::BootClock::now();
            self->m_record.connecting = now - std::exchange(self->m_stageBegan, now);
            if (!connected) {
                self->tell(0, connected.error());
                self->m_target->noteUnreachable();
                self->release(false);
            }
            handler(std::move(connected));
        });
}

RequestHead GuardExchange::headForTarget() const
{
    const auto& dialect = m_target->options().dialect;
    auto head = m_head;
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.deadline - util::BootClock::now());
    setField(head, dialect.deadline, std::to_string(std::max<std::int64_t>(1, left.count())));
    setField(head, dialect.expectedTarget, m_target->target().name.text);
    setField(head, dialect.organisation, m_context.organisation.text);
    setField(head, dialect.callerService, m_context.callerService.text);
    return head;
}

void GuardExchange::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    if (!m_begun) {
        m_begun = true;
        m_started = util::BootClock::now();
        m_target->noteStarted(m_ticket);
        m_connection->begin(headForTarget(), m_context.requestId, m_context.deadline + responseGrace,
            m_context.deadlineCoversBody);
    }
    m_connection->writeBody(std::move(chunk), std::move(handler));
}

void GuardExchange::readHead(OutcomeHandler<ResponseHead> handler)
{
    m_connection->readHead(
        [self = shared_from_this(), handler = std::move(handler)](Outcome<ResponseHead> head) {
            head = self->judged(std::move(head));
            self->noteHead(head);
            handler(std::move(head));
        });
}

Outcome<ResponseHead> GuardExchange::judged(Outcome<ResponseHead> head) const
{
    if (!head)
        return head;
    const auto judgement = judgeAnswer(*head, m_context.requestId, m_target->options().dialect);
    switch (judgement.verdict) {
    case AnswerVerdict::Sound:
        return head;
    case AnswerVerdict::NotRun:
        return tl::unexpected(
            Refusal { RefusalReason::TargetShed, RunState::NotRun, shedRetryAfter, judgement.detail });
    case AnswerVerdict::Foreign:
    case AnswerVerdict::Unsound:
        break;
    }
    return tl::unexpected(
        Refusal { RefusalReason::TargetBadFraming, RunState::Unknown, util::Duration {}, judgement.detail });
}

void GuardExchange::noteHead(const Outcome<ResponseHead>& head)
{
    const auto now = util::BootClock::now();
    m_target->noteResult(m_ticket, resultOf(head), now - m_started);
    m_record.firstByte = now - m_started;
    tell(head ? head->status : 0, head ? std::nullopt : std::optional(head.error()));
    if (!head || !head->hasBody)
        release(head.has_value());
}

void GuardExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    m_connection->readBody(
        [self = shared_from_this(), handler = std::move(handler)](Outcome<BodyChunk> chunk) {
            if (!chunk)
                self->m_target->noteResult(self->m_ticket, TargetResult::HardFailure);
            if (!chunk || chunk->last)
                self->release(chunk.has_value());
            handler(std::move(chunk));
        });
}

void GuardExchange::cancel()
{
    m_cancelled = true;
    release(false);
}

void GuardExchange::release(bool keepConnection)
{
    tell(0, std::nullopt);
    if (m_connection && keepConnection)
        m_target->giveIdle(std::move(m_connection));
    m_connection.reset();
    if (m_ticket != 0)
        m_target->leave(std::exchange(m_ticket, 0));
}

} // namespace tarragonhaven
