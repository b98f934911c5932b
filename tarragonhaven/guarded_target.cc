#include "tarragonhaven/guarded_target.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration queueRetryAfter = std::chrono::seconds(1);
    constexpr std::size_t maximumIdleConnections = 64;
    constexpr std::size_t waitingPerSlot = 200;
    // How long an entry is told of the target after its last request.
    constexpr util::Duration entryMemory = std::chrono::seconds(30);
    // Bounds what a guard sends of one target, however many entries use it.
    constexpr std::size_t mostTold = 12;
    // Weight of the newest request in the average time that a slot is held.
    constexpr double holdWeight = 0.1;

    std::int64_t milliseconds(util::Duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    util::Time queueLimit(const RequestContext& context)
    {
        return context.queueDeadline == util::Time {} ? context.deadline
                                                      : std::min(context.queueDeadline, context.deadline);
    }

    SlotQueueOptions queueOptions(const Target& target)
    {
        return { target.slots, waitingPerSlot * static_cast<std::size_t>(target.slots) };
    }

} // namespace

GuardedTarget::GuardedTarget(
    boost::asio::io_context& io, Target target, std::uint64_t incarnation, const GuardOptions& options)
    : m_io(io)
    , m_target(std::move(target))
    , m_options(options)
    , m_queue(queueOptions(m_target))
{
    m_report.incarnation = incarnation;
    if (m_options.breaker)
        m_breaker.emplace(*m_options.breaker);
}

Refusal GuardedTarget::suspect() const
{
    return { RefusalReason::TargetSuspect, RunState::NotRun, m_breaker->opensIn(true, util::BootClock::now()),
        std::string(name(m_breaker->state(util::BootClock::now()))) };
}

std::optional<Refusal> GuardedTarget::refusalOnEntry(const RequestContext& context) const
{
    const auto now = util::BootClock::now();
    const auto refusal = [](RefusalReason reason) {
        return Refusal { reason, RunState::NotRun, queueRetryAfter, "" };
    };
    if (m_draining || m_target.leaving)
        return refusal(RefusalReason::Stopping);
    if (m_breaker && !context.bypassesBreaker && !m_breaker->admits(context.idempotent, now))
        return suspect();
    if (m_queue.inUse() < m_queue.slots() && m_queue.waiting() == 0)
        return std::nullopt;
    if (!context.mayQueue)
        return refusal(RefusalReason::NoFreeSlot);
    const auto turns = static_cast<int>(m_queue.waitingBefore(context.rank)) + 1;
    const auto wait = m_typicalHold * turns / std::max(1, m_queue.slots());
    if (m_options.predictWaits && now + wait + m_typicalHold > queueLimit(context))
        return refusal(RefusalReason::QueueFull);
    return std::nullopt;
}

std::uint64_t GuardedTarget::enter(const RequestContext& context, OutcomeHandler<void> handler)
{
    const auto ticket = m_nextTicket++;
    const auto now = util::BootClock::now();
    if (!context.entry.text.empty())
        m_entries[context.entry] = now;
    m_waiting.emplace(ticket, Waiting { std::move(handler), context.bypassesBreaker });
    if (const auto refusal = refusalOnEntry(context)) {
        refuse(ticket, *refusal);
        return ticket;
    }
    // How long a request may wait does not keep it from a slot that is free.
    const bool free = m_queue.inUse() < m_queue.slots() && m_queue.waiting() == 0;
    const auto limit = free ? context.deadline : queueLimit(context);
    const auto entry = m_queue.enter({ ticket, context.organisation, limit, context.rank }, now);
    if (entry.displaced)
        refuse(*entry.displaced, { RefusalReason::QueueFull, RunState::NotRun, queueRetryAfter, "" });
    if (entry.granted)
        granted(ticket, now);
    return ticket;
}

void GuardedTarget::refuse(std::uint64_t ticket, Refusal refusal)
{
    auto waiting = m_waiting.extract(ticket);
    if (waiting.empty())
        return;
    boost::asio::post(
        m_io, [handler = std::move(waiting.mapped().handler), refusal = std::move(refusal)]() mutable {
            handler(tl::unexpected(std::move(refusal)));
        });
}

void GuardedTarget::leave(std::uint64_t ticket)
{
    const auto granted = m_grantedAt.extract(ticket);
    if (!granted.empty()) {
        const auto held = util::BootClock::now() - granted.mapped();
        const bool first = m_typicalHold == util::Duration {};
        m_typicalHold = first ? held
                              : util::fromSeconds((1 - holdWeight) * util::toSeconds(m_typicalHold)
                                  + holdWeight * util::toSeconds(held));
    }
    const auto running = m_running.extract(ticket);
    if (!running.empty())
        noteBreaker(TargetResult::Nothing, running.mapped().trial);
    m_waiting.erase(ticket);
    m_queue.leave(ticket);
    grantWaiting();
}

void GuardedTarget::grantWaiting()
{
    const auto now = util::BootClock::now();
    for (const auto ticket : m_queue.grant(now))
        granted(ticket, now);
}

void GuardedTarget::granted(std::uint64_t ticket, util::Time now)
{
    m_grantedAt.emplace(ticket, now);
    auto waiting = m_waiting.extract(ticket);
    boost::asio::post(m_io, [handler = std::move(waiting.mapped().handler)] { handler({}); });
}

void GuardedTarget::tick()
{
    const auto now = util::BootClock::now();
    for (const auto ticket : m_queue.expire(now))
        refuse(ticket, { RefusalReason::QueueTimeout, RunState::NotRun, queueRetryAfter, "" });
    const auto oldest = now - m_push.overdueAge();
    for (auto& [ticket, running] : m_running) {
        if (running.overdue || running.since >= oldest)
            continue;
        running.overdue = true;
        ++m_report.overdue;
        m_push.noteFailure();
    }
    refuseSuspected();
}

void GuardedTarget::refuseSuspected()
{
    if (m_breaker && m_breaker->state(util::BootClock::now()) == TargetBreaker::State::Open)
        refuseWaiting(suspect(), false);
}

void GuardedTarget::refuseWaiting(const Refusal& refusal, bool insisting)
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [ticket, waiting] : m_waiting) {
        if (insisting || !waiting.insists)
            tickets.push_back(ticket);
    }
    for (const auto ticket : tickets) {
        m_queue.leave(ticket);
        refuse(ticket, refusal);
    }
}

void GuardedTarget::retire()
{
    m_target.leaving = true;
    refuseWaiting({ RefusalReason::Stopping, RunState::NotRun, queueRetryAfter, "the target leaves" }, true);
}

std::vector<InstanceName> GuardedTarget::entriesToTell()
{
    const auto now = util::BootClock::now();
    if (!m_push.due(now))
        return {};
    std::erase_if(m_entries, [now](const auto& item) { return now - item.second > entryMemory; });
    std::vector<InstanceName> entries;
    for (const auto& [entry, lastUse] : m_entries)
        entries.push_back(entry);
    if (entries.size() <= mostTold)
        return entries;
    const auto first = entries.begin() + static_cast<std::ptrdiff_t>(m_nextTold % entries.size());
    std::rotate(entries.begin(), first, entries.end());
    m_nextTold += mostTold;
    entries.resize(mostTold);
    return entries;
}

std::optional<TargetBreaker::State> GuardedTarget::takeBreakerChange()
{
    const auto state = m_breaker ? m_breaker->state(util::BootClock::now()) : TargetBreaker::State::Closed;
    if (state == m_breakerTold)
        return std::nullopt;
    m_breakerTold = state;
    return state;
}

void GuardedTarget::drain() { m_draining = true; }

void GuardedTarget::update(const Target& target)
{
    if (target.address != m_target.address)
        m_idle.clear();
    m_target = target;
    if (m_target.leaving)
        return retire();
    m_queue.resize(target.slots);
    grantWaiting();
}

std::unique_ptr<TargetConnection> GuardedTarget::takeIdle(util::Duration maximumIdle)
{
    const auto now = util::BootClock::now();
    const auto oldest = now - maximumIdle;
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - connection->idleSince() > connection->idleLimit())
            continue;
        if (connection->idleSince() < oldest) {
            m_idle.push_back(std::move(connection));
            return nullptr;
        }
        if (connection->stillOpen())
            return connection;
    }
    return nullptr;
}

void GuardedTarget::giveIdle(std::unique_ptr<TargetConnection> connection)
{
    if (!connection->reusable())
        return;
    if (m_idle.size() >= maximumIdleConnections)
        m_idle.erase(m_idle.begin());
    m_idle.push_back(std::move(connection));
}

void GuardedTarget::noteStarted(std::uint64_t ticket)
{
    const bool trial = m_breaker && m_breaker->noteSent();
    m_running.emplace(ticket, Running { util::BootClock::now(), trial, false });
}

void GuardedTarget::noteBreaker(TargetResult result, bool trial)
{
    if (!m_breaker)
        return;
    m_breaker->noteResult(result, trial, util::BootClock::now());
    refuseSuspected();
}

void GuardedTarget::noteResult(std::uint64_t ticket, TargetResult result, util::Duration toFirstByte)
{
    const auto running = m_running.extract(ticket);
    if (!running.empty())
        noteBreaker(result, running.mapped().trial);
    if (result == TargetResult::Nothing)
        return;
    if (result != TargetResult::Good) {
        ++m_report.failures;
        return m_push.noteFailure();
    }
    const auto microseconds = std::chrono::duration<double, std::micro>(toFirstByte).count();
    const double logLatency = std::log2(std::max(1.0, microseconds));
    m_report.logLatencySum += logLatency;
    ++m_report.answers;
    m_lastGood = util::BootClock::now();
    m_push.noteAnswer(logLatency);
}

void GuardedTarget::noteUnreachable()
{
    noteBreaker(TargetResult::HardFailure, false);
    ++m_report.failures;
    m_push.noteFailure();
}

TargetReport GuardedTarget::report()
{
    ++m_report.sequence;
    m_report.slots = m_queue.slots();
    m_report.slotsInUse = m_queue.inUse();
    m_report.queued = static_cast<int>(m_queue.waiting());
    m_report.draining = m_draining || m_target.leaving;
    const auto now = util::BootClock::now();
    if (m_lastGood != util::Time {})
        m_report.provenMs = milliseconds(now - m_lastGood);
    if (m_breaker) {
        m_report.heldMs = milliseconds(m_breaker->opensIn(true, now));
        m_report.heldOthersMs = milliseconds(m_breaker->opensIn(false, now));
    }
    return m_report;
}

} // namespace tarragonhaven
