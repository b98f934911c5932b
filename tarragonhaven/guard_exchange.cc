// A request that must not run twice goes over a connection that was used a moment ago or is new: on a
// connection that the target may be closing for its age, a failure would leave unknown whether the request
// ran.

#include "tarragonhaven/guard_exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration connectTimeout = std::chrono::seconds(1);
    constexpr util::Duration idleLimit = std::chrono::seconds(30);
    constexpr util::Duration idleLimitNotIdempotent = std::chrono::milliseconds(500);
    constexpr int firstServerErrorStatus = 500;

} // namespace

GuardExchange::GuardExchange(std::shared_ptr<GuardedTarget> target, RequestContext context, RequestHead head)
    : m_target(std::move(target))
    , m_context(std::move(context))
    , m_head(std::move(head))
{
}

GuardExchange::~GuardExchange() { release(false); }

void GuardExchange::open(OutcomeHandler<void> handler)
{
    m_target->enter(m_context, [self = shared_from_this(), handler](Outcome<std::uint64_t> ticket) {
        if (!ticket)
            return self->m_cancelled ? void() : handler(tl::unexpected(ticket.error()));
        self->m_ticket = *ticket;
        if (self->m_cancelled)
            return self->release(false);
        self->connect(handler);
    });
}

void GuardExchange::connect(OutcomeHandler<void> handler)
{
    m_connection = m_target->takeIdle(m_context.idempotent ? idleLimit : idleLimitNotIdempotent);
    if (m_connection) {
        boost::asio::post(m_target->io(), [self = shared_from_this(), handler = std::move(handler)] {
            if (!self->m_cancelled)
                handler({});
        });
        return;
    }
    m_connection = std::make_unique<TargetConnection>(m_target->io());
    m_connection->connect(m_target->target().address, connectTimeout,
        [self = shared_from_this(), handler = std::move(handler)](Outcome<void> connected) {
            if (!connected) {
                self->m_target->noteFailure(self->m_ticket);
                self->release(false);
            }
            handler(std::move(connected));
        });
}

void GuardExchange::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    if (!m_begun) {
        m_begun = true;
        m_started = util::BootClock::now();
        m_target->noteStarted(m_ticket);
        m_connection->begin(m_head, m_context.deadline);
    }
    m_connection->writeBody(std::move(chunk), std::move(handler));
}

void GuardExchange::readHead(OutcomeHandler<ResponseHead> handler)
{
    m_connection->readHead(
        [self = shared_from_this(), handler = std::move(handler)](Outcome<ResponseHead> head) {
            self->noteHead(head);
            handler(std::move(head));
        });
}

void GuardExchange::noteHead(const Outcome<ResponseHead>& head)
{
    if (!head || head->status >= firstServerErrorStatus)
        m_target->noteFailure(m_ticket);
    else
        m_target->noteAnswer(m_ticket, util::BootClock::now() - m_started);
    if (!head || !head->hasBody)
        release(head.has_value());
}

void GuardExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    m_connection->readBody(
        [self = shared_from_this(), handler = std::move(handler)](Outcome<BodyChunk> chunk) {
            if (!chunk)
                self->m_target->noteFailure(self->m_ticket);
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
    if (m_connection && keepConnection)
        m_target->giveIdle(std::move(m_connection));
    m_connection.reset();
    if (m_ticket != 0)
        m_target->leave(std::exchange(m_ticket, 0));
}

} // namespace tarragonhaven
