#include "tarragonhaven/guarded_target.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration queueRetryAfter = std::chrono::seconds(1);
    constexpr std::size_t maximumIdleConnections = 64;
    constexpr std::size_t maximumWaitingPerSlot = 200;
    // Weight of the latest request in the moving averages of hold times and service times.
    constexpr double latestWeight = 0.1;

    // A request that is given up counts as a failure after this many times the average service time.
    constexpr int hangingServiceTimes = 3;

    // Returns the moving average after one more time; an average of zero has no times yet.
    util::Duration movingAverage(util::Duration average, util::Duration latest)
    {
        if (average == util::Duration {})
            return latest;
        return util::fromSeconds(
            (1 - latestWeight) * util::toSeconds(average) + latestWeight * util::toSeconds(latest));
    }

    std::int64_t milliseconds(util::Duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    util::Time queueDeadline(const RequestContext& context)
    {
        return context.queueDeadline == util::Time {} ? context.deadline
                                                      : std::min(context.queueDeadline, context.deadline);
    }

    SlotQueueOptions queueOptions(const Target& target)
    {
        return { target.slots, maximumWaitingPerSlot * static_cast<std::size_t>(target.slots) };
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

Refusal GuardedTarget::breakerRefusal() const
{
    return { RefusalReason::TargetSuspect, RunState::NotRun,
        m_breaker->timeUntilAdmitted(true, util::BootClock::now()),
        std::string(toString(m_breaker->state(util::BootClock::now()))) };
}

bool GuardedTarget::hasFreeSlot(util::Time now)
{
    return m_queue.inUse() < m_queue.slots() && m_queue.waiting() == 0 && admitted(now) > 0;
}

std::optional<Refusal> GuardedTarget::admissionRefusal(const RequestContext& context)
{
    const auto now = util::BootClock::now();
    const auto refusal = [](RefusalReason reason) {
        return Refusal { reason, RunState::NotRun, queueRetryAfter, "" };
    };
    if (const auto evacuated = evacuationRefusal())
        return evacuated;
    if (m_draining || isLeaving())
        return refusal(RefusalReason::Stopping);
    if (m_breaker && !context.bypassesBreaker && !m_breaker->admits(context.idempotent, now))
        return breakerRefusal();
    if (m_cold && m_queue.inUse() == 0)
        m_cold->recordDemand(hasUsedConnection(), now);
    if (hasFreeSlot(now))
        return std::nullopt;
    const bool paced = isCold(now) && m_queue.inUse() < m_queue.slots();
    m_pacedRequests += paced ? 1 : 0;
    if (!context.mayQueue)
        return Refusal { RefusalReason::NoFreeSlot, RunState::NotRun, queueRetryAfter,
            m_queue.inUse() < m_queue.slots() ? limitDetail() : "" };
    return predictedTimeout(context, now);
}

std::optional<Refusal> GuardedTarget::predictedTimeout(const RequestContext& context, util::Time now)
{
    const auto position = m_queue.waitingBefore(context.rank) + 1;
    const auto waitForLimit = timeUntilAdmitted(position, now);
    if (waitForLimit > util::Duration {} && now + waitForLimit > queueDeadline(context))
        return Refusal { RefusalReason::QueueFull, RunState::NotRun, std::max(queueRetryAfter, waitForLimit),
            limitDetail() };
    const auto waitForSlot
        = m_averageHoldTime * static_cast<std::int64_t>(position) / std::max(1, m_queue.slots());
    const auto wait = std::max<util::Duration>(waitForSlot, waitForLimit);
    const bool hasQueueTimeout = context.queueDeadline != util::Time {};
    const auto available = util::fromSeconds(
        (hasQueueTimeout ? m_options.predictedTimeShare : 1) * util::toSeconds(queueDeadline(context) - now));
    if (m_options.refusePredictedTimeouts && wait + m_averageServiceTime > available)
        return Refusal { RefusalReason::QueueFull, RunState::NotRun, queueRetryAfter, "" };
    return std::nullopt;
}

std::uint64_t GuardedTarget::acquireSlot(const RequestContext& context, OutcomeHandler<void> handler)
{
    const auto ticket = m_nextTicket++;
    const auto now = util::BootClock::now();
    if (!context.entry.text.empty())
        m_reportRecipients.recordUse(context.entry, now);
    adoptKnownLimit(context);
    m_waiting.emplace(ticket, WaitingRequest { std::move(handler), context.bypassesBreaker });
    if (const auto refusal = admissionRefusal(context)) {
        refuse(ticket, *refusal);
        return ticket;
    }
    // A free slot is granted even if the queue timeout has passed; only the deadline counts then.
    const bool free = hasFreeSlot(now);
    const SlotTicket slotTicket { ticket, context.organisation,
        free ? context.deadline : queueDeadline(context), context.rank };
    const auto acquisition = free ? m_queue.acquire(slotTicket, now) : m_queue.enqueue(slotTicket);
    if (acquisition.displaced)
        refuse(*acquisition.displaced, { RefusalReason::QueueFull, RunState::NotRun, queueRetryAfter, "" });
    if (acquisition.granted)
        onGranted(ticket, now);
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

void GuardedTarget::releaseSlot(std::uint64_t ticket)
{
    const auto granted = m_grants.extract(ticket);
    if (!granted.empty()) {
        const auto held = util::BootClock::now() - granted.mapped().at;
        m_averageHoldTime = movingAverage(m_averageHoldTime, held);
    }
    const auto request = m_inFlight.extract(ticket);
    if (!request.empty())
        recordBreakerResult(TargetResult::NoEvidence, request.mapped());
    m_waiting.erase(ticket);
    m_queue.release(ticket);
    grantWaiting();
}

void GuardedTarget::grantWaiting()
{
    const auto now = util::BootClock::now();
    for (const auto ticket : m_queue.grant(now, admitted(now)))
        onGranted(ticket, now);
}

void GuardedTarget::onGranted(std::uint64_t ticket, util::Time now)
{
    const bool paced = isCold(now);
    m_grants.emplace(ticket, Grant { now, paced, false });
    if (m_pacer)
        m_pacer->take(now);
    if (paced)
        m_cold->pace().take(now);
    auto waiting = m_waiting.extract(ticket);
    boost::asio::post(m_io, [handler = std::move(waiting.mapped().handler)] { handler({}); });
}

void GuardedTarget::tick()
{
    const auto now = util::BootClock::now();
    for (const auto ticket : m_queue.expire(now))
        refuse(ticket, { RefusalReason::QueueTimeout, RunState::NotRun, queueRetryAfter, "" });
    if (m_pacer || m_cold)
        grantWaiting();
    recordSurvivingProbes(now);
    const auto oldest = now - m_pushTrigger.overdueAge();
    for (auto& [ticket, request] : m_inFlight) {
        if (request.overdue || request.sentAt >= oldest)
            continue;
        request.overdue = true;
        ++m_report.overdue;
        m_pushTrigger.recordFailure();
    }
    refuseWaitingWhenOpen();
}

void GuardedTarget::recordSurvivingProbes(util::Time now)
{
    if (!m_breaker)
        return;
    for (auto& [ticket, request] : m_inFlight) {
        if (!request.probe || request.survived || now - request.sentAt < m_breaker->survivalTime())
            continue;
        request.survived = true;
        m_breaker->recordSurvival();
    }
}

void GuardedTarget::refuseWaitingWhenOpen()
{
    if (m_breaker && m_breaker->state(util::BootClock::now()) == TargetBreaker::State::Open)
        refuseWaiting(breakerRefusal(), false);
}

void GuardedTarget::refuseWaiting(const Refusal& refusal, bool includeBypassing)
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [ticket, waiting] : m_waiting) {
        if (includeBypassing || !waiting.bypassesBreaker)
            tickets.push_back(ticket);
    }
    for (const auto ticket : tickets) {
        m_queue.release(ticket);
        refuse(ticket, refusal);
    }
}

void GuardedTarget::retire()
{
    m_target.leaving = true;
    refuseWaitingBecauseLeaving("the target is leaving");
}

void GuardedTarget::refuseWaitingBecauseLeaving(const std::string& detail)
{
    refuseWaiting({ RefusalReason::Stopping, RunState::NotRun, queueRetryAfter, detail }, true);
}

void GuardedTarget::recordPeerState(PeerState state)
{
    if (m_peerState && m_peerState->asOf >= state.asOf)
        return;
    const bool wasLeaving = isLeaving();
    m_peerState = state;
    if (wasLeaving == isLeaving())
        return;
    m_pushTrigger.recordChange();
    if (isLeaving())
        refuseWaitingBecauseLeaving("another node has read that the target is leaving");
}

std::vector<InstanceName> GuardedTarget::entriesToNotify(const ReportRecipients::DataCentreOf& dataCentreOf)
{
    const auto now = util::BootClock::now();
    if (!m_pushTrigger.due(now))
        return {};
    return m_reportRecipients.take(m_target.dataCentre, dataCentreOf, now);
}

std::optional<TargetBreaker::State> GuardedTarget::takeBreakerChange()
{
    const auto state = m_breaker ? m_breaker->state(util::BootClock::now()) : TargetBreaker::State::Closed;
    if (state == m_lastReportedBreakerState)
        return std::nullopt;
    m_lastReportedBreakerState = state;
    return state;
}

void GuardedTarget::drain() { m_draining = true; }

void GuardedTarget::update(const Target& target, const StorePosition& directoryAsOf)
{
    if (m_peerState && directoryAsOf >= m_peerState->asOf)
        m_peerState.reset();
    if (target.address != m_target.address)
        m_idleConnections.clear();
    m_target = target;
    if (isLeaving())
        return refuseWaitingBecauseLeaving("the target is leaving");
    m_queue.resize(target.slots);
    grantWaiting();
}

std::unique_ptr<TargetConnection> GuardedTarget::takeIdleConnection(util::Duration maximumIdle)
{
    const auto now = util::BootClock::now();
    const auto oldest = now - maximumIdle;
    while (!m_idleConnections.empty()) {
        auto connection = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
        if (now - connection->idleSince() > connection->maximumIdleTime())
            continue;
        if (connection->idleSince() < oldest) {
            m_idleConnections.push_back(std::move(connection));
            return nullptr;
        }
        if (connection->stillOpen())
            return connection;
    }
    return nullptr;
}

void GuardedTarget::storeIdleConnection(std::unique_ptr<TargetConnection> connection)
{
    if (!connection->reusable())
        return;
    if (m_idleConnections.size() >= maximumIdleConnections)
        m_idleConnections.erase(m_idleConnections.begin());
    m_idleConnections.push_back(std::move(connection));
}

bool GuardedTarget::hasOpenConnection()
{
    return !m_inFlight.empty()
        || std::any_of(m_idleConnections.begin(), m_idleConnections.end(),
            [](const auto& connection) { return connection->stillOpen(); });
}

void GuardedTarget::recordSent(std::uint64_t ticket, bool repeat)
{
    if (const auto grant = m_grants.find(ticket); grant != m_grants.end())
        grant->second.connected = true;
    const bool probe = m_breaker && m_breaker->recordSent();
    m_inFlight.emplace(ticket, InFlightRequest { util::BootClock::now(), probe, false, false, repeat });
}

double GuardedTarget::repeatShare() const
{
    if (m_inFlight.empty())
        return 0;
    const auto repeats = std::count_if(
        m_inFlight.begin(), m_inFlight.end(), [](const auto& item) { return item.second.repeat; });
    return static_cast<double>(repeats) / static_cast<double>(m_inFlight.size());
}

void GuardedTarget::recordBreakerResult(TargetResult result, const InFlightRequest& request)
{
    recordBreakerResult(result, request.probe && !request.survived, util::BootClock::now() - request.sentAt);
}

void GuardedTarget::recordBreakerResult(TargetResult result, bool probe, util::Duration age)
{
    if (!m_breaker)
        return;
    m_breaker->recordResult(result, probe, util::BootClock::now(), age);
    refuseWaitingWhenOpen();
}

void GuardedTarget::recordResult(std::uint64_t ticket, TargetResult result, util::Duration timeToFirstByte)
{
    const auto request = m_inFlight.extract(ticket);
    if (!request.empty())
        recordBreakerResult(result, request.mapped());
    if (result == TargetResult::HardFailure)
        recordConnectionLost(ticket);
    if (result == TargetResult::NoEvidence)
        return;
    if (result != TargetResult::Success) {
        ++m_report.failures;
        return m_pushTrigger.recordFailure();
    }
    const auto microseconds = std::chrono::duration<double, std::micro>(timeToFirstByte).count();
    const double logLatency = std::log2(std::max(1.0, microseconds));
    m_report.logLatencySum += logLatency;
    ++m_report.successes;
    m_averageServiceTime = movingAverage(m_averageServiceTime, timeToFirstByte);
    m_lastSuccess = util::BootClock::now();
    m_pushTrigger.recordLatency(logLatency);
}

void GuardedTarget::recordAbandoned(std::uint64_t ticket)
{
    const auto request = m_inFlight.find(ticket);
    if (request == m_inFlight.end() || m_averageServiceTime == util::Duration {})
        return;
    if (util::BootClock::now() - request->second.sentAt > hangingServiceTimes * m_averageServiceTime)
        recordResult(ticket, TargetResult::SoftFailure);
}

void GuardedTarget::recordNotice(const TargetNotice& notice)
{
    if (notice.leaving && !std::exchange(m_announcedLeaving, true)) {
        m_pushTrigger.recordChange();
        refuseWaitingBecauseLeaving("the target has announced that it is leaving");
    }
    if (notice.malformedLimit)
        return;
    m_limitKnown = true;
    if (notice.requestsPerSecond != requestLimit())
        m_pushTrigger.recordChange();
    setLimit(notice.requestsPerSecond);
}

void GuardedTarget::setLimit(std::optional<double> requestsPerSecond)
{
    const auto now = util::BootClock::now();
    if (!requestsPerSecond) {
        m_pacer.reset();
        return grantWaiting();
    }
    if (m_pacer)
        m_pacer->setLimit(*requestsPerSecond, now);
    else
        m_pacer.emplace(*requestsPerSecond, now);
}

void GuardedTarget::adoptKnownLimit(const RequestContext& context)
{
    if (m_limitKnown || !context.knownTargetLimit)
        return;
    if (!m_pacer || *context.knownTargetLimit < m_pacer->limit())
        setLimit(context.knownTargetLimit);
}

void GuardedTarget::recordConnectFailure()
{
    recordBreakerResult(TargetResult::HardFailure, false, {});
    if (m_cold && !hasUsedConnection())
        m_cold->assume(ColdSource::ConnectionsLost, util::BootClock::now());
    ++m_report.failures;
    m_pushTrigger.recordFailure();
}

TargetReport GuardedTarget::report()
{
    ++m_report.sequence;
    m_report.slots = m_queue.slots();
    m_report.slotsInUse = m_queue.inUse();
    m_report.waiting = static_cast<int>(m_queue.waiting());
    m_report.draining = m_draining || isLeaving() || isEvacuated();
    m_report.evacuatedAsOf = m_evacuatedAsOf;
    m_report.announcedLeaving = m_announcedLeaving;
    const auto now = util::BootClock::now();
    m_report.startTimeMs = m_target.startTimeMs;
    m_report.limitKnown = m_limitKnown;
    m_report.requestLimit = requestLimit();
    m_report.limitedMs = milliseconds(timeUntilAdmitted(m_queue.waiting() + 1, now));
    m_report.coldPace = coldPace();
    m_report.coldMs = m_cold ? milliseconds(m_cold->remaining(now)) : 0;
    if (m_lastSuccess != util::Time {})
        m_report.sinceSuccessMs = milliseconds(now - m_lastSuccess);
    if (m_breaker) {
        m_report.idempotentBlockedMs = milliseconds(m_breaker->timeUntilAdmitted(true, now));
        m_report.nonIdempotentBlockedMs = milliseconds(m_breaker->timeUntilAdmitted(false, now));
    }
    return m_report;
}

} // namespace tarragonhaven
