#include "tarragonhaven/evacuation/cold_state.h"

#include <algorithm>
#include <utility>

namespace tarragonhaven {

namespace {

    // Most health responses arrive within this time.
    constexpr util::Duration usualProbeTime = std::chrono::milliseconds(100);
    constexpr util::Duration maximumProbeInterval = std::chrono::seconds(4);
    // After this time without a probe the interval is the shortest again.
    constexpr util::Duration probeIntervalReset = std::chrono::seconds(30);

} // namespace

std::string_view toString(ColdSource source)
{
    switch (source) {
    case ColdSource::Start:
        return "start";
    case ColdSource::ConnectionsLost:
        return "connections-lost";
    case ColdSource::EvacuationEnded:
        return "evacuation-ended";
    case ColdSource::Record:
        return "record";
    case ColdSource::Health:
        return "health";
    case ColdSource::Elapsed:
        return "elapsed";
    }
    return "start";
}

ColdState::ColdState(ColdStartPolicy policy, ColdPaceBound bound, util::Time now)
    : m_policy(std::move(policy))
    , m_bound(bound)
    , m_pace(m_policy.requestsPerSecond, bound, true, now)
    , m_coldUntil(now + m_policy.duration)
{
}

void ColdState::setPolicy(const ColdStartPolicy& policy, util::Time now)
{
    if (policy.requestsPerSecond != m_policy.requestsPerSecond)
        m_pace.setRate(policy.requestsPerSecond, m_bound, now);
    m_policy = policy;
}

void ColdState::becomeColdUntil(util::Time until, ColdSource source, bool mayHaveRequests, util::Time now)
{
    if (!isCold(now))
        m_pace = ColdPace(m_policy.requestsPerSecond, m_bound, mayHaveRequests, now);
    m_coldUntil = until;
    m_source = source;
}

void ColdState::assume(ColdSource source, util::Time now)
{
    m_probeOutdated = true;
    m_assumed = true;
    if (source != ColdSource::ConnectionsLost)
        m_probeInterval = minimumProbeInterval;
    // A process that has just started has got no requests yet.
    becomeColdUntil(std::max(m_coldUntil, now + m_policy.duration), source, false, now);
}

void ColdState::recordDemand(bool hasOpenConnection, util::Time now)
{
    const bool probeIsOpen = m_probing && !m_probeOutdated && now - m_probedAt < usualProbeTime;
    if (!hasOpenConnection && !probeIsOpen)
        assume(ColdSource::ConnectionsLost, now);
}

void ColdState::recordAnnounced(util::Time until, util::Time now)
{
    if (until > now && until > m_coldUntil)
        becomeColdUntil(until, ColdSource::Record, true, now);
    else if (until <= now && m_source == ColdSource::Record)
        m_coldUntil = std::min(m_coldUntil, now);
    // A record changes seldom, so the time that it states may be too long.
    m_assumed = m_assumed || until > now;
}

bool ColdState::takeProbe(util::Time now)
{
    if (!m_assumed || !isCold(now) || m_probing || m_policy.healthPath.empty())
        return false;
    if (m_probedAt != util::Time {} && now - m_probedAt < m_probeInterval)
        return false;
    const bool first = m_probedAt == util::Time {} || now - m_probedAt > probeIntervalReset;
    m_probeInterval = first ? minimumProbeInterval : std::min(2 * m_probeInterval, maximumProbeInterval);
    m_probedAt = now;
    m_probing = true;
    m_probeOutdated = false;
    return true;
}

void ColdState::recordProbe(std::optional<util::Duration> remaining, util::Time now)
{
    if (!std::exchange(m_probing, false) || !remaining || m_probeOutdated
        || now - m_probedAt > maximumProbeAge)
        return;
    m_assumed = false;
    // The response was written before it arrived, so the target is not cold for longer than this.
    if (*remaining > util::Duration {})
        becomeColdUntil(now + *remaining, ColdSource::Health, true, now);
    else
        m_coldUntil = std::min(m_coldUntil, now);
    m_source = ColdSource::Health;
}

util::Duration ColdState::remaining(util::Time now) const
{
    return isCold(now) ? m_coldUntil - now : util::Duration {};
}

std::optional<ColdChange> ColdState::takeChange(util::Time now)
{
    const bool cold = isCold(now);
    if (cold == std::exchange(m_reportedCold, cold))
        return std::nullopt;
    const bool settled = cold || (!m_assumed && m_coldUntil <= now);
    return ColdChange { cold, settled ? m_source : ColdSource::Elapsed, remaining(now) };
}

} // namespace tarragonhaven
