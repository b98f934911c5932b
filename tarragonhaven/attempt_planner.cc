#include "tarragonhaven/attempt_planner.h"

namespace tarragonhaven {

namespace {

    // The number of attempts that may queue for a slot before the request bypasses the breaker.
    constexpr int queuingAttempts = 2;

} // namespace

bool AttemptPlanner::looksForFreeSlot() const
{
    return m_attempts < m_options.nonQueuingAttempts
        && m_remoteTargetsWithoutFreeSlot < m_options.remoteNonQueuingAttempts;
}

bool AttemptPlanner::enoughQueuesFull() const
{
    return m_options.maximumFullQueues > 0 && m_fullQueues >= m_options.maximumFullQueues;
}

bool AttemptPlanner::isRefusedEverywhere() const { return enoughQueuesFull() && !mayBypassBreaker(); }

ChoiceRequest AttemptPlanner::anyTarget() const
{
    ChoiceRequest request { m_idempotent, m_failedTargets, m_options.spilloverLoad };
    request.noSuccessPenalty = m_idempotent ? 0 : m_options.noSuccessPenalty;
    request.excluded.insert(m_suspectTargets.begin(), m_suspectTargets.end());
    if (m_attempts == 0)
        request.dataCentre = m_placement.first;
    request.avoidedDataCentres = m_placement.avoided;
    return request;
}

ChoiceRequest AttemptPlanner::freeTarget() const
{
    auto request = anyTarget();
    request.freeSlotOnly = true;
    request.excluded.insert(m_targetsWithoutFreeSlot.begin(), m_targetsWithoutFreeSlot.end());
    request.includeLimited = false;
    return request;
}

AttemptPlanner::Attempt AttemptPlanner::next(const Choose& choose) const
{
    if (looksForFreeSlot()) {
        const auto choice = choose(freeTarget());
        if (choice.target)
            return { choice, false, false };
    }
    auto request = anyTarget();
    request.lowestCost = m_options.nonQueuingAttempts > 0;
    request.remoteCostFactor = m_options.remoteCostFactor;
    const bool lastResort
        = enoughQueuesFull() || m_attempts >= m_options.nonQueuingAttempts + queuingAttempts;
    if (!mayBypassBreaker() || !lastResort) {
        const auto choice = choose(request);
        if (choice.target || !mayBypassBreaker())
            return { choice, true, false };
    }
    request.includeBlocked = true;
    request.excluded = m_failedTargets;
    return { choose(request), true, true };
}

TargetChoice AttemptPlanner::hedge(const Choose& choose) const
{
    auto request = freeTarget();
    request.excluded.insert(m_attempted.begin(), m_attempted.end());
    return choose(request);
}

void AttemptPlanner::recordAttempt(const TargetName& target, bool remote)
{
    ++m_attempts;
    m_attempted.insert(target);
    if (remote)
        m_remoteTargets.insert(target);
}

void AttemptPlanner::recordRefusal(const TargetName& target, RefusalReason reason)
{
    if (reason == RefusalReason::NoFreeSlot) {
        m_targetsWithoutFreeSlot.insert(target);
        m_remoteTargetsWithoutFreeSlot += m_remoteTargets.contains(target) ? 1 : 0;
    } else if (reason == RefusalReason::TargetSuspect) {
        m_suspectTargets.insert(target);
    } else {
        m_failedTargets.insert(target);
        m_fullQueues += reason == RefusalReason::QueueFull ? 1 : 0;
    }
}

} // namespace tarragonhaven
