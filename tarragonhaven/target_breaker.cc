#include "tarragonhaven/target_breaker.h"

#include <algorithm>

namespace tarragonhaven {

TargetBreaker::State TargetBreaker::state(util::Time now) const
{
    if (m_closed)
        return State::Closed;
    return now < m_openUntil ? State::Open : State::HalfOpen;
}

bool TargetBreaker::admits(bool idempotent, util::Time now) const
{
    if (m_closed)
        return true;
    if (now < m_openUntil || m_probesInFlight > 0)
        return false;
    return idempotent || now >= m_openUntil + m_options.nonIdempotentProbeDelay;
}

util::Duration TargetBreaker::timeUntilAdmitted(bool idempotent, util::Time now) const
{
    const auto admittedFrom
        = m_openUntil + (idempotent ? util::Duration {} : m_options.nonIdempotentProbeDelay);
    const auto probeTime = m_probesInFlight > 0 ? survivalTime() : util::Duration {};
    return m_closed ? util::Duration {} : std::max<util::Duration>(probeTime, admittedFrom - now);
}

util::Duration TargetBreaker::survivalTime() const
{
    return std::max(m_options.minimumSurvivalTime,
        util::fromSeconds(m_options.survivalFactor * util::toSeconds(m_failureTime)));
}

void TargetBreaker::recordSurvival()
{
    --m_probesInFlight;
    if (!m_closed)
        countProbeSuccess();
}

bool TargetBreaker::recordSent()
{
    m_probesInFlight += m_closed ? 0 : 1;
    return !m_closed;
}

void TargetBreaker::recordResult(TargetResult result, bool probe, util::Time now, util::Duration age)
{
    m_probesInFlight -= probe ? 1 : 0;
    switch (result) {
    case TargetResult::Success:
        return recordSuccess(probe);
    case TargetResult::SoftFailure:
        return recordFailure(m_options.softFailureWeight, now, age);
    case TargetResult::HardFailure:
        return recordFailure(m_options.hardFailureWeight, now, age);
    case TargetResult::NoEvidence:
        return;
    }
}

void TargetBreaker::recordSuccess(bool probe)
{
    if (m_closed) {
        m_score = std::max(0.0, m_score - m_options.successCredit);
        m_openDuration = {};
        return;
    }
    if (probe)
        countProbeSuccess();
}

// The duration for which the breaker opens next is reset by the first response, not by surviving probes.
void TargetBreaker::countProbeSuccess()
{
    if (++m_probeSuccesses < m_options.closingSuccesses)
        return;
    m_closed = true;
    m_score = 0;
}

// While the breaker is open, failures of requests that were sent before it opened are no new evidence, so
// they do not extend the time for which it stays open.
void TargetBreaker::recordFailure(double weight, util::Time now, util::Duration age)
{
    m_failureTime = std::max(age, m_failureTime / 2);
    m_score = std::min(1.0, m_score + weight);
    m_probeSuccesses = 0;
    if (state(now) == State::Open)
        return;
    if (m_closed && m_score < 1.0)
        return;
    m_closed = false;
    m_openDuration
        = std::clamp(m_openDuration * 2, m_options.initialOpenDuration, m_options.maximumOpenDuration);
    m_openUntil = now + m_openDuration;
}

// Logs and metrics call the half-open state "trial".
std::string_view toString(TargetBreaker::State state)
{
    switch (state) {
    case TargetBreaker::State::Closed:
        return "closed";
    case TargetBreaker::State::Open:
        return "open";
    case TargetBreaker::State::HalfOpen:
        return "trial";
    }
    return "closed";
}

} // namespace tarragonhaven
