#include "tarragonhaven/target_breaker.h"

#include <algorithm>

namespace tarragonhaven {

TargetBreaker::State TargetBreaker::state(util::Time now) const
{
    if (m_closed)
        return State::Closed;
    return now < m_openUntil ? State::Open : State::Trial;
}

bool TargetBreaker::admits(bool idempotent, util::Time now) const
{
    if (m_closed)
        return true;
    if (now < m_openUntil || m_trials > 0)
        return false;
    return idempotent || now >= m_openUntil + m_options.trialPatience;
}

util::Duration TargetBreaker::opensIn(bool idempotent, util::Time now) const
{
    const auto from = m_openUntil + (idempotent ? util::Duration {} : m_options.trialPatience);
    return m_closed || now >= from ? util::Duration {} : from - now;
}

bool TargetBreaker::noteSent()
{
    m_trials += m_closed ? 0 : 1;
    return !m_closed;
}

void TargetBreaker::noteResult(TargetResult result, bool trial, util::Time now)
{
    m_trials -= trial ? 1 : 0;
    switch (result) {
    case TargetResult::Good:
        return noteGood(trial);
    case TargetResult::SoftFailure:
        return addFailure(m_options.softFailure, now);
    case TargetResult::HardFailure:
        return addFailure(m_options.hardFailure, now);
    case TargetResult::Nothing:
        return;
    }
}

void TargetBreaker::noteGood(bool trial)
{
    if (m_closed) {
        m_score = std::max(0.0, m_score - m_options.goodAnswer);
        return;
    }
    if (!trial || ++m_good < m_options.closingAnswers)
        return;
    m_closed = true;
    m_score = 0;
    m_open = {};
}

// Failures of requests that were sent before the breaker opened say nothing new while it is open.
void TargetBreaker::addFailure(double weight, util::Time now)
{
    m_score = std::min(1.0, m_score + weight);
    m_good = 0;
    if (state(now) == State::Open)
        return;
    if (m_closed && m_score < 1.0)
        return;
    m_closed = false;
    m_open = std::clamp(m_open * 2, m_options.firstOpen, m_options.longestOpen);
    m_openUntil = now + m_open;
}

std::string_view name(TargetBreaker::State state)
{
    switch (state) {
    case TargetBreaker::State::Closed:
        return "closed";
    case TargetBreaker::State::Open:
        return "open";
    case TargetBreaker::State::Trial:
        return "trial";
    }
    return "closed";
}

} // namespace tarragonhaven
