#include "tarragonhaven/testing/spill_model.h"
#include "tarragonhaven/testing/sidecar_entry_options.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    constexpr int maximumAttempts = 10;
    constexpr double logSpread = 0.5;
    constexpr double holdTimeWeight = 0.1;
    constexpr double objectiveInMeans = 4;
    constexpr double predictedTimeShare = 0.65;
    constexpr double localLatency = 0.0001;
    constexpr double unreachableSeconds = 0.05;
    constexpr double avoidedSeconds = 1.5;
    constexpr double largeMegabytes = 1;
    constexpr double smallMegabytes = 0.002;

    DataCentreName nameOf(int dataCentre) { return { std::to_string(dataCentre) }; }

} // namespace

SpillModel::SpillModel(SpillShape shape, SpillPolicy policy, unsigned seed)
    : m_shape(std::move(shape))
    , m_policy(policy)
    , m_options(sidecarOptions())
    , m_random(seed)
    , m_demandRandom(seed + 1000)
    , m_service { { "s" }, 70, EjectionSensitivity::Balanced, {} }
    , m_guards(static_cast<std::size_t>(m_shape.dataCentres * m_shape.targetsPerDataCentre))
    , m_entries(static_cast<std::size_t>(m_shape.dataCentres * m_shape.entriesPerDataCentre))
    , m_capacity(static_cast<std::size_t>(m_shape.dataCentres))
    , m_firstAttempts(static_cast<std::size_t>(m_shape.durationSeconds) + 1)
    , m_firstAttemptsSent(m_firstAttempts.size())
{
    for (std::size_t i = 0; i < m_guards.size(); ++i) {
        auto& guard = m_guards[i];
        guard.slots = std::uniform_int_distribution<int>(3, 7)(m_random);
        guard.speed = std::uniform_real_distribution<double>(0.8, 1.25)(m_random);
        guard.lies = random() < m_shape.falseReporters;
        guard.report.incarnation = 1;
        guard.report.slots = guard.slots;
        Target target { { std::to_string(i) }, { "i" + std::to_string(i) }, {}, guard.slots };
        target.dataCentre = nameOf(dataCentreOf(i));
        m_service.targets.push_back(target);
        m_capacity[static_cast<std::size_t>(dataCentreOf(i))]
            += guard.slots * guard.speed / m_shape.meanServiceSeconds;
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_entries[i].health = std::make_unique<ServiceHealth>(m_service);
        m_entries[i].spill = std::make_unique<ServiceSpill>(
            nameOf(dataCentreOfEntry(i)), SpillOptions { true, m_shape.secondsPerMegabyte });
    }
}

int SpillModel::dataCentreOf(std::size_t target) const
{
    return static_cast<int>(target) / m_shape.targetsPerDataCentre;
}

int SpillModel::dataCentreOfEntry(std::size_t entry) const
{
    return static_cast<int>(entry) / m_shape.entriesPerDataCentre;
}

// Returns the latency in one direction: 1 to 4 ms between data centres.
double SpillModel::latency(const Request& request) const
{
    const int from = dataCentreOfEntry(request.entry);
    const int to = dataCentreOf(request.target);
    return from == to ? localLatency : 0.001 * (1 + (from + to) % 4);
}

bool SpillModel::counts(const Request& request) const
{
    return util::toSeconds(request.arrivedAt - m_start) >= m_shape.countedFrom;
}

void SpillModel::after(double seconds, std::function<void()> action)
{
    m_events.schedule(m_now + util::fromSeconds(seconds), std::move(action));
}

SpillResult SpillModel::run()
{
    for (int i = 0; i < m_shape.dataCentres; ++i)
        after(0, [this, i] { arrive(i); });
    after(0, [this] { tick(); });
    if (m_shape.lostFrom >= 0)
        after(m_shape.lostFrom, [this] { loseTargets(); });
    while (const auto event = m_events.takeNext()) {
        m_now = event->at;
        event->action();
    }
    m_result.meanSeconds /= std::max(1, m_result.served);
    for (std::size_t i = 0; i < m_firstAttempts.size(); ++i)
        m_result.sentShares.push_back(
            static_cast<double>(m_firstAttemptsSent[i]) / std::max(1, m_firstAttempts[i]));
    for (const auto& [size, counts] : m_sentBySize)
        m_result.sentShareBySize[size] = static_cast<double>(counts.first) / std::max(1, counts.second);
    return std::move(m_result);
}

void SpillModel::tick()
{
    if (elapsed() >= m_shape.durationSeconds)
        return;
    after(0.1, [this] { tick(); });
    for (auto& entry : m_entries) {
        std::set<TargetName> unreachable;
        std::erase_if(entry.avoided, [this](const auto& item) { return item.second <= m_now; });
        for (const auto& [target, until] : entry.avoided)
            unreachable.insert(target);
        entry.health->evaluate(m_now);
        if (m_policy == SpillPolicy::Planned)
            m_result.changes
                += entry.spill->update(entry.health->views(m_now), unreachable, entry.roundTrips, m_now) ? 1
                                                                                                         : 0;
    }
}

void SpillModel::arrive(int dataCentre)
{
    if (elapsed() >= m_shape.durationSeconds)
        return;
    const auto index = static_cast<std::size_t>(dataCentre);
    const bool bursts = dataCentre == 0 && m_shape.burstFrom >= 0 && elapsed() >= m_shape.burstFrom;
    const double rate = m_shape.load[index] * m_capacity[index] * (bursts ? m_shape.burst : 1);
    after(std::exponential_distribution<double>(rate)(m_demandRandom),
        [this, dataCentre] { arrive(dataCentre); });
    const auto request = std::make_shared<Request>();
    request->entry = index * static_cast<std::size_t>(m_shape.entriesPerDataCentre)
        + std::uniform_int_distribution<std::size_t>(
            0, static_cast<std::size_t>(m_shape.entriesPerDataCentre) - 1)(m_demandRandom);
    request->arrivedAt = m_now;
    const double objective = objectiveInMeans * m_shape.meanServiceSeconds;
    request->queueDeadline = m_now + util::fromSeconds(m_options.queueTimeoutShareOfObjective * objective);
    request->planner = std::make_unique<AttemptPlanner>(m_options, false);
    request->large = std::bernoulli_distribution(m_shape.largeBodyShare)(m_demandRandom);
    request->workSeconds = m_shape.meanServiceSeconds / std::exp(logSpread * logSpread / 2)
        * std::exp(std::normal_distribution<double>(0, logSpread)(m_demandRandom));
    m_result.requests += counts(*request) ? 1 : 0;
    if (m_policy == SpillPolicy::Planned) {
        auto& spill = *m_entries[request->entry].spill;
        const SpillKind kind { request->large ? BodySize::Large : BodySize::Small, 0 };
        spill.recordRequest(kind, request->large ? largeMegabytes : smallMegabytes, m_now);
        request->planner->setPlacement(spill.place(kind, m_random));
    }
    attempt(request);
}

const Target* SpillModel::choose(Request& request)
{
    auto& entry = m_entries[request.entry];
    const auto own = nameOf(dataCentreOfEntry(request.entry));
    const auto distance
        = [&own](const Target& target) { return target.dataCentre == own ? 1 : remoteDistance; };
    const auto attempt = request.planner->next([&](const ChoiceRequest& wanted) {
        auto views = entry.health->views(m_now);
        if (m_policy == SpillPolicy::AlwaysLocal)
            std::erase_if(views, [&own](const auto& view) { return view.target->dataCentre != own; });
        auto restricted = wanted;
        for (const auto& [target, until] : entry.avoided)
            restricted.excluded.insert(target);
        const auto choice = chooseTarget(views, restricted, distance, m_random);
        return choice.target ? choice : chooseTarget(views, wanted, distance, m_random);
    });
    request.mayQueue = attempt.mayQueue;
    return attempt.choice.target;
}

const Target* SpillModel::chooseWithAllKnowledge(const Request& request) const
{
    const auto cost = [this, &request](std::size_t i) {
        const auto& guard = m_guards[i];
        const bool remote = dataCentreOf(i) != dataCentreOfEntry(request.entry);
        const bool cut = m_shape.cut && dataCentreOfEntry(request.entry) == 0 && dataCentreOf(i) == 1;
        if (guard.lost || cut)
            return 1e9;
        const int inQueue = static_cast<int>(guard.waiting.size()) + 1;
        const double wait = guard.inUse < guard.slots ? 0 : static_cast<double>(inQueue) / guard.slots;
        return 10 * wait + (remote ? 1 : 0) + 0.1 * guard.inUse / guard.slots;
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_guards.size(); ++i)
        best = cost(i) < cost(best) ? i : best;
    return &m_service.targets[best];
}

void SpillModel::attempt(const RequestPointer& request)
{
    auto& planner = *request->planner;
    const auto* target
        = m_policy == SpillPolicy::Oracle ? chooseWithAllKnowledge(*request) : choose(*request);
    const int limit = m_policy == SpillPolicy::Oracle ? 1 : maximumAttempts;
    if (!target || planner.attempts() >= limit || planner.isRefusedEverywhere())
        return m_entries[request->entry].spill->recordRefused(m_now);
    request->target = std::stoul(target->name.text);
    const bool remote = dataCentreOf(request->target) != dataCentreOfEntry(request->entry);
    if (planner.attempts() == 0)
        countFirstAttempt(*request, remote);
    planner.recordAttempt(target->name, remote);
    m_entries[request->entry].health->recordSent(target->name);
    if (remote && counts(*request))
        ++m_result.remoteAttempts;
    const bool cut
        = m_shape.cut && dataCentreOfEntry(request->entry) == 0 && dataCentreOf(request->target) == 1;
    if (cut || m_guards[request->target].lost)
        return after(unreachableSeconds, [this, request] { failToReach(request); });
    after(latency(*request), [this, request] { reach(request); });
}

void SpillModel::countFirstAttempt(const Request& request, bool remote)
{
    if (dataCentreOfEntry(request.entry) != 0)
        return;
    const auto second = static_cast<std::size_t>(elapsed());
    ++m_firstAttempts[second];
    m_firstAttemptsSent[second] += remote ? 1 : 0;
    auto& [sent, all] = m_sentBySize[request.large ? BodySize::Large : BodySize::Small];
    sent += remote ? 1 : 0;
    ++all;
}

void SpillModel::reach(const RequestPointer& request)
{
    auto& guard = m_guards[request->target];
    if (guard.lost)
        return failToReach(request);
    if (guard.inUse < guard.slots)
        return start(request);
    if (!request->mayQueue)
        return refuse(request, RefusalReason::NoFreeSlot);
    const double wait = guard.meanHoldSeconds * static_cast<double>(guard.waiting.size() + 1) / guard.slots;
    if (wait + guard.meanHoldSeconds > predictedTimeShare * util::toSeconds(request->queueDeadline - m_now))
        return refuse(request, RefusalReason::QueueFull);
    request->waiting = true;
    guard.waiting.push_back(request);
    after(util::toSeconds(request->queueDeadline - m_now), [this, request] {
        if (!std::exchange(request->waiting, false))
            return;
        std::erase(m_guards[request->target].waiting, request);
        refuse(request, RefusalReason::QueueTimeout);
    });
}

void SpillModel::report(const RequestPointer& request, std::function<void()> then)
{
    auto& guard = m_guards[request->target];
    ++guard.report.sequence;
    guard.report.slotsInUse = guard.lies ? 0 : guard.inUse;
    guard.report.waiting = guard.lies ? 0 : static_cast<int>(guard.waiting.size());
    guard.report.sinceSuccessMs = guard.report.successes > 0 ? 0 : -1;
    const bool lost = random() < m_shape.lostReports;
    after(latency(*request),
        [this, request, lost, content = guard.report, target = request->target, then = std::move(then)] {
            auto& health = *m_entries[request->entry].health;
            const TargetName name { std::to_string(target) };
            health.recordCompleted(name);
            if (!lost)
                health.recordReport(name, content, m_now);
            then();
        });
}

void SpillModel::refuse(const RequestPointer& request, RefusalReason reason)
{
    report(request, [this, request, reason] {
        if (reason == RefusalReason::NoFreeSlot)
            m_entries[request->entry].roundTrips.record(
                nameOf(dataCentreOf(request->target)), util::fromSeconds(2 * latency(*request)), m_now);
        request->planner->recordRefusal({ std::to_string(request->target) }, reason);
        attempt(request);
    });
}

void SpillModel::failToReach(const RequestPointer& request)
{
    auto& entry = m_entries[request->entry];
    const TargetName name { std::to_string(request->target) };
    entry.health->recordCompleted(name);
    entry.health->recordPathFailure(name);
    entry.avoided[name] = m_now + util::fromSeconds(avoidedSeconds);
    request->planner->recordRefusal(name, RefusalReason::PeerUnreachable);
    attempt(request);
}

void SpillModel::loseTargets()
{
    for (std::size_t i = 0; dataCentreOf(i) == 0; ++i) {
        auto& guard = m_guards[i];
        guard.lost = i % 5 != 0;
        if (!guard.lost)
            continue;
        for (const auto& request : std::exchange(guard.waiting, {})) {
            request->waiting = false;
            failToReach(request);
        }
    }
}

void SpillModel::start(const RequestPointer& request)
{
    auto& guard = m_guards[request->target];
    ++guard.inUse;
    const bool remote = dataCentreOf(request->target) != dataCentreOfEntry(request->entry);
    if (remote && counts(*request))
        m_result.remoteMegabytes += request->large ? largeMegabytes : smallMegabytes;
    const double seconds = request->workSeconds / guard.speed;
    after(seconds, [this, request, seconds] { finish(request, seconds); });
}

void SpillModel::finish(const RequestPointer& request, double seconds)
{
    auto& guard = m_guards[request->target];
    // The requests that a lost target was running are lost.
    if (guard.lost)
        return m_entries[request->entry].health->recordCompleted({ std::to_string(request->target) });
    reportFinished(request, seconds);
    --guard.inUse;
    if (guard.waiting.empty())
        return;
    const auto next = guard.waiting.front();
    guard.waiting.pop_front();
    next->waiting = false;
    start(next);
}

// Reports while the request still holds its slot, as a guard does with the head of a response.
void SpillModel::reportFinished(const RequestPointer& request, double seconds)
{
    auto& guard = m_guards[request->target];
    guard.meanHoldSeconds = guard.meanHoldSeconds == 0
        ? seconds
        : (1 - holdTimeWeight) * guard.meanHoldSeconds + holdTimeWeight * seconds;
    ++guard.report.successes;
    guard.report.logLatencySum += std::log2(seconds * 1e6);
    report(request, [this, request] {
        m_entries[request->entry].health->recordServed({ std::to_string(request->target) });
        const auto served = nameOf(dataCentreOf(request->target));
        const auto placed
            = request->planner->placement().first.value_or(nameOf(dataCentreOfEntry(request->entry)));
        if (placed != served)
            m_entries[request->entry].spill->recordDiverted(placed, served, m_now);
        if (!counts(*request))
            return;
        const double took = util::toSeconds(m_now - request->arrivedAt);
        ++m_result.served;
        m_result.meanSeconds += took;
        m_result.inObjective += took <= objectiveInMeans * m_shape.meanServiceSeconds ? 1 : 0;
    });
}

} // namespace tarragonhaven::testing
