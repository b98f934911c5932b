// The part of GuardedTarget that concerns cold targets and evacuated data centres.

#include "tarragonhaven/guarded_target.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration refusedRetryAfter = std::chrono::seconds(1);

} // namespace

std::string GuardedTarget::limitDetail()
{
    if (const auto pace = coldPace())
        return absl::StrCat("the target is cold and gets ", *pace, " requests per second");
    return m_pacer ? absl::StrCat("the target accepts ", m_pacer->limit(), " requests per second") : "";
}

std::size_t GuardedTarget::admitted(util::Time now)
{
    auto count = std::numeric_limits<std::size_t>::max();
    if (m_pacer)
        count = std::min(count, m_pacer->available(now));
    if (isCold(now))
        count = std::min(count, m_cold->pace().available(now));
    return count;
}

util::Duration GuardedTarget::timeUntilAdmitted(std::size_t count, util::Time now)
{
    const auto limited = m_pacer ? m_pacer->timeUntil(count, now) : util::Duration {};
    if (!isCold(now))
        return limited;
    // Once the target is warm it takes all.
    const auto paced = std::min(m_cold->pace().timeUntil(count, now), m_cold->remaining(now));
    return std::max<util::Duration>(limited, paced);
}

bool GuardedTarget::hasUsedConnection()
{
    return std::any_of(
               m_grants.begin(), m_grants.end(), [](const auto& item) { return item.second.connected; })
        || std::any_of(m_idleConnections.begin(), m_idleConnections.end(),
            [](const auto& connection) { return connection->stillOpen(); });
}

void GuardedTarget::recordConnectionLost(std::uint64_t ticket)
{
    const auto grant = m_grants.find(ticket);
    if (grant == m_grants.end() || !std::exchange(grant->second.connected, false))
        return;
    if (m_cold && !hasUsedConnection())
        m_cold->assume(ColdSource::ConnectionsLost, util::BootClock::now());
}

void GuardedTarget::setColdStart(const ColdStartPolicy& policy)
{
    const auto now = util::BootClock::now();
    m_healthPath = policy.healthPath;
    if (!policy.limitsRequests())
        m_cold.reset();
    else if (m_cold)
        m_cold->setPolicy(policy, now);
    else
        m_cold.emplace(policy, m_options.coldPace, now);
    if (m_cold && m_target.slowStartUntil != std::exchange(m_announcedColdUntil, m_target.slowStartUntil))
        m_cold->recordAnnounced(m_target.slowStartUntil, now);
    grantWaiting();
}

bool GuardedTarget::takeColdProbe()
{
    const auto now = util::BootClock::now();
    if (!m_cold || m_draining || isLeaving() || isEvacuated())
        return false;
    // While the breaker is open nothing is sent, and the target may be down.
    const bool sends = !m_breaker || m_breaker->state(now) == TargetBreaker::State::Closed;
    return sends && m_cold->takeProbe(now);
}

void GuardedTarget::recordColdProbe(std::optional<util::Duration> remaining)
{
    if (!m_cold)
        return;
    m_cold->recordProbe(remaining, util::BootClock::now());
    grantWaiting();
}

std::optional<ColdChange> GuardedTarget::takeColdChange()
{
    const auto change = m_cold ? m_cold->takeChange(util::BootClock::now()) : std::nullopt;
    if (change)
        m_pushTrigger.recordChange();
    return change;
}

std::optional<double> GuardedTarget::coldPace()
{
    return isCold(util::BootClock::now()) ? std::optional(m_cold->pace().ratePerSecond()) : std::nullopt;
}

std::optional<Refusal> GuardedTarget::refusalBeforeSend(std::uint64_t ticket)
{
    if (const auto evacuated = evacuationRefusal())
        return evacuated;
    const auto now = util::BootClock::now();
    const auto grant = m_grants.find(ticket);
    if (!isCold(now) || grant == m_grants.end()
        || (grant->second.paced && now - grant->second.at <= ColdPace::sendDelay))
        return std::nullopt;
    if (m_cold->pace().available(now) == 0)
        return Refusal { RefusalReason::NoFreeSlot, RunState::NotRun, refusedRetryAfter, limitDetail() };
    m_cold->pace().take(now);
    grant->second = { now, true, false };
    return std::nullopt;
}

std::optional<Refusal> GuardedTarget::evacuationRefusal() const
{
    if (!isEvacuated())
        return std::nullopt;
    return Refusal { RefusalReason::TargetEvacuated, RunState::NotRun, refusedRetryAfter,
        absl::StrCat("the data centre ", m_target.dataCentre.text, " is evacuated") };
}

void GuardedTarget::setEvacuated(bool evacuated, const StorePosition& asOf)
{
    const bool changed = evacuated != isEvacuated();
    m_evacuatedAsOf = evacuated ? std::optional(asOf) : std::nullopt;
    if (!changed)
        return;
    m_pushTrigger.recordChange();
    if (const auto refusal = evacuationRefusal())
        return refuseWaiting(*refusal, true);
    if (m_cold)
        m_cold->assume(ColdSource::EvacuationEnded, util::BootClock::now());
}

} // namespace tarragonhaven
