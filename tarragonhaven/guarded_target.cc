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

    SlotQueueOptions queueOptions(const Target& target)
    {
        return { target.slots, waitingPerSlot * static_cast<std::size_t>(target.slots) };
    }

} // namespace

GuardedTarget::GuardedTarget(boost::asio::io_context& io, Target target, std::uint64_t incarnation)
    : m_io(io)
    , m_target(std::move(target))
    , m_queue(queueOptions(m_target))
{
    m_report.incarnation = incarnation;
}

void GuardedTarget::enter(const RequestContext& context, OutcomeHandler<std::uint64_t> handler)
{
    const auto ticket = m_nextTicket++;
    if (!context.entry.text.empty())
        m_entries[context.entry] = util::BootClock::now();
    m_waiting.emplace(ticket, std::move(handler));
    if (m_draining)
        return refuse(ticket, RefusalReason::Stopping);
    const auto entry
        = m_queue.enter({ ticket, context.organisation, context.deadline }, util::BootClock::now());
    if (entry.displaced)
        refuse(*entry.displaced, RefusalReason::QueueFull);
    if (!entry.granted)
        return;
    auto granted = m_waiting.extract(ticket);
    boost::asio::post(m_io, [handler = std::move(granted.mapped()), ticket] { handler(ticket); });
}

void GuardedTarget::refuse(std::uint64_t ticket, RefusalReason reason)
{
    auto waiting = m_waiting.extract(ticket);
    if (waiting.empty())
        return;
    boost::asio::post(m_io, [handler = std::move(waiting.mapped()), reason] {
        handler(tl::unexpected(Refusal { reason, RunState::NotRun, queueRetryAfter, "" }));
    });
}

void GuardedTarget::leave(std::uint64_t ticket)
{
    m_waiting.erase(ticket);
    m_started.erase(ticket);
    m_queue.leave(ticket);
    grantWaiting();
}

void GuardedTarget::grantWaiting()
{
    for (const auto ticket : m_queue.grant(util::BootClock::now())) {
        auto granted = m_waiting.extract(ticket);
        boost::asio::post(m_io, [handler = std::move(granted.mapped()), ticket] { handler(ticket); });
    }
}

void GuardedTarget::tick()
{
    const auto now = util::BootClock::now();
    for (const auto ticket : m_queue.expire(now))
        refuse(ticket, RefusalReason::QueueTimeout);
    const auto oldest = now - m_push.overdueAge();
    const auto overdue
        = std::erase_if(m_started, [oldest](const auto& item) { return item.second < oldest; });
    m_report.overdue += overdue;
    if (overdue > 0)
        m_push.noteFailure();
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

void GuardedTarget::drain() { m_draining = true; }

void GuardedTarget::update(const Target& target)
{
    if (target.address != m_target.address)
        m_idle.clear();
    m_target = target;
    m_queue.resize(target.slots);
    grantWaiting();
}

std::unique_ptr<TargetConnection> GuardedTarget::takeIdle(util::Duration maximumIdle)
{
    const auto oldest = util::BootClock::now() - maximumIdle;
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
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

void GuardedTarget::noteStarted(std::uint64_t ticket) { m_started.emplace(ticket, util::BootClock::now()); }

void GuardedTarget::noteAnswer(std::uint64_t ticket, util::Duration toFirstByte)
{
    m_started.erase(ticket);
    const auto microseconds = std::chrono::duration<double, std::micro>(toFirstByte).count();
    const double logLatency = std::log2(std::max(1.0, microseconds));
    m_report.logLatencySum += logLatency;
    ++m_report.answers;
    m_push.noteAnswer(logLatency);
}

void GuardedTarget::noteFailure(std::uint64_t ticket)
{
    m_started.erase(ticket);
    ++m_report.failures;
    m_push.noteFailure();
}

TargetReport GuardedTarget::report()
{
    ++m_report.sequence;
    m_report.slots = m_queue.slots();
    m_report.slotsInUse = m_queue.inUse();
    m_report.queued = static_cast<int>(m_queue.waiting());
    m_report.draining = m_draining;
    return m_report;
}

} // namespace tarragonhaven
