#include "tarragonhaven/testing/overloaded_service.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    constexpr int maximumAttempts = 10;
    constexpr double logSpread = 0.6;
    // The weight of the latest request in the average time for which a guard's requests hold a slot.
    constexpr double holdTimeWeight = 0.1;

} // namespace

OverloadedService::OverloadedService(Shape shape, EntryOptions options, unsigned seed)
    : m_shape(shape)
    , m_options(std::move(options))
    , m_random(seed)
    , m_end(m_now + util::fromSeconds(shape.durationSeconds))
    , m_guards(static_cast<std::size_t>(shape.dataCentres * shape.targetsPerDataCentre))
{
    Service service { { "s" }, 70, EjectionSensitivity::Balanced, {} };
    for (std::size_t i = 0; i < m_guards.size(); ++i) {
        Target target { { std::to_string(i) }, { "i" + std::to_string(i) }, {}, m_shape.slots };
        target.dataCentre = { std::to_string(i / static_cast<std::size_t>(m_shape.targetsPerDataCentre)) };
        service.targets.push_back(target);
        m_guards[i].report.incarnation = 1;
        m_guards[i].report.slots = m_shape.slots;
    }
    for (int i = 0; i < m_shape.dataCentres * m_shape.entriesPerDataCentre; ++i)
        m_entries.push_back(std::make_unique<ServiceHealth>(service));
    if (m_shape.evacuatedFromSeconds >= 0)
        scheduleEvacuation(service);
}

void OverloadedService::scheduleEvacuation(const Service& service)
{
    m_evacuatedFrom = m_now + util::fromSeconds(m_shape.evacuatedFromSeconds);
    auto evacuated = service;
    for (auto& target : evacuated.targets)
        target.evacuated = target.dataCentre.text == "0";
    std::uniform_real_distribution<double> delay(0, m_shape.learnedWithinSeconds);
    for (auto& entry : m_entries)
        schedule(*m_evacuatedFrom + util::fromSeconds(delay(m_random)),
            [&health = *entry, evacuated] { health.update(evacuated); });
    for (int i = 0; i < m_shape.targetsPerDataCentre; ++i) {
        const double after = i % 3 == 0 ? m_shape.learnedWithinSeconds : delay(m_random);
        schedule(*m_evacuatedFrom + util::fromSeconds(after),
            [this, i] { evacuateGuard(static_cast<std::size_t>(i)); });
    }
}

void OverloadedService::evacuateGuard(std::size_t target)
{
    auto& guard = m_guards[target];
    guard.evacuated = true;
    guard.report.draining = true;
    for (const auto& request : std::exchange(guard.waiting, {})) {
        request->waiting = false;
        refuse(request, RefusalReason::TargetEvacuated);
    }
}

void OverloadedService::schedule(util::Time at, std::function<void()> action)
{
    m_events.schedule(at, std::move(action));
}

OverloadResult OverloadedService::run()
{
    schedule(m_now, [this] { arrive(); });
    while (const auto event = m_events.takeNext()) {
        m_now = event->at;
        event->action();
    }
    return m_result;
}

void OverloadedService::arrive()
{
    if (m_now >= m_end)
        return;
    schedule(
        m_now + util::fromSeconds(std::exponential_distribution<double>(m_shape.requestsPerSecond)(m_random)),
        [this] { arrive(); });
    const auto request = std::make_shared<Request>();
    request->entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
    request->arrivedAt = m_now;
    request->queueDeadline
        = m_now + util::fromSeconds(m_options.queueTimeoutShareOfObjective * m_shape.objectiveSeconds);
    request->planner = std::make_unique<AttemptPlanner>(m_options, false);
    if (m_shape.ranks > 1)
        request->rank = std::uniform_int_distribution<int>(0, m_shape.ranks - 1)(m_random);
    ++m_result.requests;
    if (m_evacuatedFrom && m_now >= *m_evacuatedFrom)
        ++m_result.requestsByRank[request->rank];
    attempt(request);
}

void OverloadedService::attempt(const RequestPointer& request)
{
    auto& health = *m_entries[request->entry];
    const auto ownDataCentre
        = std::to_string(request->entry / static_cast<std::size_t>(m_shape.entriesPerDataCentre));
    const auto distance = [&ownDataCentre](const Target& target) {
        return target.dataCentre.text == ownDataCentre ? 1 : remoteDistance;
    };
    const auto attempt = request->planner->next([&](const ChoiceRequest& choice) {
        return chooseTarget(health.views(m_now), choice, distance, m_random);
    });
    if (!attempt.choice.target || request->planner->attempts() >= maximumAttempts
        || request->planner->isRefusedEverywhere()) {
        ++m_result.refused;
        if (m_evacuatedFrom && request->arrivedAt >= *m_evacuatedFrom)
            ++m_result.refusedByRank[request->rank];
        m_result.secondsUntilRefused += util::toSeconds(m_now - request->arrivedAt);
        return;
    }
    const auto& target = *attempt.choice.target;
    request->target = std::stoul(target.name.text);
    request->remote = distance(target) >= remoteDistance;
    request->planner->recordAttempt(target.name, request->remote);
    ++m_result.attempts;
    m_result.remoteAttempts += request->remote ? 1 : 0;
    health.recordSent(target.name);
    auto& guard = m_guards[request->target];
    if (guard.evacuated)
        return refuse(request, RefusalReason::TargetEvacuated);
    if (guard.inUse < m_shape.slots)
        return start(request);
    if (!attempt.mayQueue)
        return refuse(request, RefusalReason::NoFreeSlot);
    const auto behind = std::find_if(guard.waiting.begin(), guard.waiting.end(),
        [&request](const auto& other) { return other->rank > request->rank; });
    const auto position = behind - guard.waiting.begin() + 1;
    const double wait = guard.meanHoldSeconds * static_cast<double>(position) / m_shape.slots;
    const double available = m_shape.predictedTimeShare * util::toSeconds(request->queueDeadline - m_now);
    if (wait + guard.meanHoldSeconds > available)
        return refuse(request, RefusalReason::QueueFull);
    request->waiting = true;
    guard.waiting.insert(behind, request);
    schedule(request->queueDeadline, [this, request] {
        if (!request->waiting)
            return;
        request->waiting = false;
        std::erase(m_guards[request->target].waiting, request);
        refuse(request, RefusalReason::QueueTimeout);
    });
}

void OverloadedService::sendReport(const RequestPointer& request)
{
    auto& guard = m_guards[request->target];
    ++guard.report.sequence;
    guard.report.slotsInUse = guard.inUse;
    guard.report.waiting = static_cast<int>(guard.waiting.size());
    guard.report.sinceSuccessMs = guard.report.successes > 0 ? 0 : -1;
    const TargetName name { std::to_string(request->target) };
    m_entries[request->entry]->recordCompleted(name);
    m_entries[request->entry]->recordReport(name, guard.report, m_now);
}

void OverloadedService::refuse(const RequestPointer& request, RefusalReason reason)
{
    sendReport(request);
    request->planner->recordRefusal({ std::to_string(request->target) }, reason);
    attempt(request);
}

void OverloadedService::start(const RequestPointer& request)
{
    ++m_guards[request->target].inUse;
    const bool evacuated = request->target < static_cast<std::size_t>(m_shape.targetsPerDataCentre);
    if (evacuated && m_evacuatedFrom
        && m_now > *m_evacuatedFrom + util::fromSeconds(m_shape.learnedWithinSeconds))
        ++m_result.startedInEvacuated;
    const double median = m_shape.meanServiceSeconds / std::exp(logSpread * logSpread / 2);
    const double seconds = median * std::exp(std::normal_distribution<double>(0, logSpread)(m_random));
    schedule(m_now + util::fromSeconds(seconds), [this, request, seconds] { finish(request, seconds); });
}

void OverloadedService::finish(const RequestPointer& request, double serviceSeconds)
{
    auto& guard = m_guards[request->target];
    --guard.inUse;
    guard.meanHoldSeconds = guard.meanHoldSeconds == 0
        ? serviceSeconds
        : (1 - holdTimeWeight) * guard.meanHoldSeconds + holdTimeWeight * serviceSeconds;
    ++guard.report.successes;
    guard.report.logLatencySum += std::log2(serviceSeconds * 1e6);
    startWaiting(request->target);
    sendReport(request);
    const bool inObjective = util::toSeconds(m_now - request->arrivedAt) <= m_shape.objectiveSeconds;
    ++(inObjective ? m_result.servedInObjective : m_result.servedLate);
    m_result.remoteServed += request->remote ? 1 : 0;
}

void OverloadedService::startWaiting(std::size_t target)
{
    auto& guard = m_guards[target];
    if (guard.waiting.empty() || guard.inUse >= m_shape.slots)
        return;
    const auto request = guard.waiting.front();
    guard.waiting.pop_front();
    request->waiting = false;
    start(request);
}

} // namespace tarragonhaven::testing
