// Candidates are ranked by evidence and ejected from the worst on, as far as the floor allows. With n targets
// in the service, an evaluation takes O(n log n) time, and a report O(n) for the median with which it is
// compared.

#include "tarragonhaven/service_health.h"

#include "util/check.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace tarragonhaven {

namespace {

    // Thresholds of the excess score (see excessScore()) at which a target is ejected, one for each
    // sensitivity of the service.
    constexpr double fastThreshold = 8;
    constexpr double balancedThreshold = 12;
    constexpr double carefulThreshold = 18;
    // Multiplies the threshold for a target on probation or in its ramp, which is ejected on less evidence.
    constexpr double returningThresholdFactor = 0.6;
    // The number of successes and failures that a target needs before its averages are used.
    constexpr long minimumSamples = 3;
    // The excess score is a target's score less this multiple of the median score of the others. When the
    // whole service changes, the evidence against all targets rises, unevenly, until the averages have
    // followed.
    constexpr double medianWeight = 3;
    // The score at which the counters of all targets are saved, so that the evidence can be confirmed by what
    // the targets respond from then on.
    constexpr double suspicionScore = 3;
    // How long an ejection waits for responses of the other targets, which may get no requests.
    constexpr util::Duration comparisonTimeout = std::chrono::seconds(2);
    constexpr util::Duration keptByFloorLogInterval = std::chrono::seconds(5);
    constexpr int percent = 100;
    // The share of its slots for which a target is used while it is slow after its start.
    constexpr double slowStartShare = 0.4;
    // How long a target is not used after a report that its guard is draining. The guard may have restarted
    // since, which only a report shows, and reports come with responses.
    constexpr util::Duration drainingRetention = std::chrono::seconds(2);
    // The least share for which a target with a limit is used, so that it can show that the limit has ended.
    constexpr double minimumLimitShare = 0.05;
    // Bounds of the time for which a report that all slots are in use counts.
    constexpr util::Duration minimumFullRetention = std::chrono::milliseconds(50);
    constexpr util::Duration maximumFullRetention = std::chrono::seconds(1);
    constexpr double microsecondsPerSecond = 1e6;
    // In seconds. A success that is older than this says nothing about the present.
    constexpr double maximumSecondsSinceSuccess = 4;

    // A success on probation does not count if it is slower than the others by more than this base-2
    // logarithm.
    constexpr double probationSlowdownTolerance = 1.0;
    // Evidence is confirmed if the target is slower than the others by this base-2 logarithm plus the error
    // of the comparison, computed with a spread of `logLatencySpread` per response, or if its failure share
    // is higher by `minimumConfirmedFailureShare` plus the error of that comparison.
    constexpr double minimumConfirmedSlowdown = 0.7;
    constexpr double logLatencySpread = 2;
    constexpr double minimumConfirmedFailureShare = 0.05;
    // The number of standard errors by which the difference of failure shares must exceed
    // `minimumConfirmedFailureShare`.
    constexpr double failureShareStandardErrors = 3;

    struct CounterDelta {
        double successes = 0;
        double failures = 0;
        double logLatencySum = 0;
    };

    // Returns what a target's counters have gained since `earlier`. A restarted guard counts from zero.
    CounterDelta countersSince(
        const std::map<TargetName, TargetReport>& earlier, const TargetName& name, const TargetReport& report)
    {
        const auto found = earlier.find(name);
        const bool same = found != earlier.end() && found->second.incarnation == report.incarnation;
        const TargetReport base = same ? found->second : TargetReport {};
        return { static_cast<double>(report.successes - base.successes),
            static_cast<double>(report.failures + report.overdue - base.failures - base.overdue),
            report.logLatencySum - base.logLatencySum };
    }

    double median(std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

} // namespace

std::string_view toString(EjectionEvent event)
{
    switch (event) {
    case EjectionEvent::Ejected:
        return "ejected";
    case EjectionEvent::KeptByFloor:
        return "kept-by-floor";
    case EjectionEvent::Reinstated:
        return "reinstated";
    case EjectionEvent::ProbationStarted:
        return "probation";
    case EjectionEvent::RampStarted:
        return "ramp";
    case EjectionEvent::Recovered:
        return "recovered";
    }
    return "ejected";
}

ServiceHealth::ServiceHealth(Service service, EjectionOptions ejectionOptions)
    : m_service(std::move(service))
    , m_ejectionOptions(ejectionOptions)
{
    update(m_service);
}

void ServiceHealth::update(const Service& service)
{
    m_service = service;
    m_evaluationNeeded = true;
    std::set<TargetName> declared;
    for (const auto& target : m_service.targets) {
        declared.insert(target.name);
        const auto found = m_states.find(target.name);
        if (found != m_states.end() && found->second.target.startTimeMs != target.startTimeMs)
            m_states.erase(found);
        auto& state = m_states.try_emplace(target.name, m_ejectionOptions).first->second;
        state.target = target;
    }
    std::erase_if(m_states, [&declared](const auto& item) { return !declared.contains(item.first); });
}

ServiceBaseline ServiceHealth::baselineFor(const TargetName& target) const
{
    std::vector<double> latencies;
    std::vector<double> shares;
    for (const auto& [name, state] : m_states) {
        if (name == target || state.evidence.samples() < minimumSamples)
            continue;
        latencies.push_back(state.evidence.logLatency());
        shares.push_back(state.evidence.failureShare());
    }
    const bool known = !latencies.empty();
    return { median(latencies), median(shares), known };
}

void ServiceHealth::recordReport(const TargetName& target, const TargetReport& report, util::Time now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    auto& state = found->second;
    const auto baseline = baselineFor(target);
    const auto delta = state.evidence.recordReport(report, baseline);
    if (!delta.fresh)
        return;
    state.sentSinceReport = 0;
    state.servedSinceReport = 0;
    state.lastReport = now;
    m_evaluationNeeded = true;
    const bool comparableLatency
        = !baseline.known || delta.meanLogLatency <= baseline.logLatency + probationSlowdownTolerance;
    if (delta.failures == 0 && delta.successes > 0 && comparableLatency)
        state.ejection.recordSuccesses(delta.successes, now);
}

void ServiceHealth::recordPathFailure(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    m_evaluationNeeded = true;
    found->second.evidence.recordPathFailure(baselineFor(target));
}

void ServiceHealth::recordWaiting(const TargetName& target, util::Duration age, util::Duration previousAge)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    m_evaluationNeeded = true;
    found->second.evidence.recordWaiting(age, previousAge, baselineFor(target));
}

void ServiceHealth::recordSent(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    ++found->second.sentSinceReport;
    ++found->second.inFlight;
}

void ServiceHealth::recordCompleted(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found != m_states.end())
        found->second.inFlight = std::max(0, found->second.inFlight - 1);
}

void ServiceHealth::recordServed(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found != m_states.end())
        ++found->second.servedSinceReport;
}

void ServiceHealth::markLeaving(const std::set<InstanceName>& instances)
{
    m_evaluationNeeded = true;
    for (auto& [name, state] : m_states)
        state.leaving = instances.contains(state.target.instance);
}

bool ServiceHealth::countsForFloor(const State& state)
{
    const auto ejectionState = state.ejection.state();
    const bool trusted = ejectionState == EjectionState::Active || ejectionState == EjectionState::Ramp;
    return trusted && !state.leaving && state.target.takesRequests() && !state.evidence.lastReport().draining;
}

int ServiceHealth::servingSlots() const
{
    int slots = 0;
    for (const auto& [name, state] : m_states)
        slots += countsForFloor(state) ? state.target.slots : 0;
    return slots;
}

int ServiceHealth::floorSlots() const
{
    int slots = 0;
    for (const auto& [name, state] : m_states)
        slots += state.target.takesRequests() ? state.target.slots : 0;
    return (slots * m_service.floorPercent + percent - 1) / percent;
}

std::vector<double> ServiceHealth::sortedScores() const
{
    std::vector<double> scores;
    for (const auto& [name, state] : m_states)
        scores.push_back(state.evidence.score());
    std::sort(scores.begin(), scores.end());
    return scores;
}

// Computes the median of the other targets' scores from the sorted scores of all targets, by leaving out one
// score equal to the target's own.
double ServiceHealth::excessOverMedian(double own, const std::vector<double>& sorted)
{
    if (sorted.size() < 2)
        return own;
    const auto middle = (sorted.size() - 2) / 2;
    const auto place
        = static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), own) - sorted.begin());
    return own - medianWeight * sorted[place <= middle ? middle + 1 : middle];
}

double ServiceHealth::excessScore(const TargetName& target) const
{
    const auto found = m_states.find(target);
    return found == m_states.end() ? 0 : excessOverMedian(found->second.evidence.score(), sortedScores());
}

double ServiceHealth::threshold(EjectionState ejectionState) const
{
    const double full = m_service.sensitivity == EjectionSensitivity::Fast ? fastThreshold
        : m_service.sensitivity == EjectionSensitivity::Careful            ? carefulThreshold
                                                                           : balancedThreshold;
    return ejectionState == EjectionState::Active ? full : full * returningThresholdFactor;
}

EjectionDecision ServiceHealth::makeDecision(const State& state, EjectionEvent event, double score) const
{
    return { state.target.name, event, score, servingSlots(), floorSlots() };
}

void ServiceHealth::advanceEjectionStates(util::Time now, std::vector<EjectionDecision>& decisions)
{
    for (auto& [name, state] : m_states) {
        const auto before = state.ejection.state();
        state.ejection.advance(now);
        const auto after = state.ejection.state();
        if (before == EjectionState::Ejected && after == EjectionState::Probation) {
            state.evidence.resetScores();
            decisions.push_back(makeDecision(state, EjectionEvent::ProbationStarted, 0));
        }
        if (before == EjectionState::Ramp && after == EjectionState::Active)
            decisions.push_back(makeDecision(state, EjectionEvent::Recovered, state.evidence.score()));
    }
}

void ServiceHealth::recordKeptByFloor(
    const State& state, double score, util::Time now, std::vector<EjectionDecision>& decisions)
{
    auto& logged = m_keptByFloorLoggedAt[state.target.name];
    if (now - logged < keptByFloorLogInterval)
        return;
    logged = now;
    decisions.push_back(makeDecision(state, EjectionEvent::KeptByFloor, score));
}

// Subtracts the median score from all scores: evidence against most targets indicates a change of the
// service, not of a target.
void ServiceHealth::subtractCommonEvidence()
{
    auto scores = sortedScores();
    const double common = median(scores);
    if (common <= 0)
        return;
    for (auto& [name, state] : m_states)
        state.evidence.subtractCommon(common);
}

void ServiceHealth::updateSuspicions(util::Time now)
{
    for (auto& [name, state] : m_states) {
        if (state.evidence.score() < suspicionScore) {
            state.suspectSince.reset();
            state.countersAtSuspicion.clear();
        } else if (!state.suspectSince) {
            state.suspectSince = now;
            for (const auto& [other, otherState] : m_states)
                state.countersAtSuspicion[other] = otherState.evidence.lastReport();
        }
    }
}

// Compares the responses of this target since the evidence against it rose with those of the other targets in
// the same period. A change of the whole service affects all targets alike in this comparison, however
// unevenly it affected the averages on which the evidence is based. If fewer than half of the other targets
// have responded, the evidence counts as confirmed only after `comparisonTimeout`.
bool ServiceHealth::isConfirmed(const State& state, util::Time now) const
{
    if (!state.suspectSince)
        return true;
    std::vector<double> latencies;
    std::vector<double> shares;
    double otherSuccesses = 0;
    double otherFailures = 0;
    for (const auto& [name, other] : m_states) {
        const auto since = countersSince(state.countersAtSuspicion, name, other.evidence.lastReport());
        if (&other == &state || since.successes + since.failures == 0)
            continue;
        shares.push_back(since.failures / (since.successes + since.failures));
        if (since.successes > 0)
            latencies.push_back(since.logLatencySum / since.successes);
        otherSuccesses += since.successes;
        otherFailures += since.failures;
    }
    const bool timedOut = now - *state.suspectSince > comparisonTimeout;
    if (2 * shares.size() + 1 < m_states.size())
        return timedOut;
    const auto own = countersSince(state.countersAtSuspicion, state.target.name, state.evidence.lastReport());
    if (own.successes + own.failures == 0)
        return true;
    const double ownCount = own.successes + own.failures;
    const double otherCount = otherSuccesses + otherFailures;
    const double pooled = (own.failures + otherFailures) / (ownCount + otherCount);
    const double shareError = std::sqrt(pooled * (1 - pooled) * (1 / ownCount + 1 / otherCount));
    const double share = own.failures / ownCount;
    const bool fails
        = share - median(shares) >= minimumConfirmedFailureShare + failureShareStandardErrors * shareError;
    if (own.successes == 0 || latencies.empty())
        return fails;
    const double error = logLatencySpread * std::sqrt(1 / own.successes + 1 / otherSuccesses);
    return fails || own.logLatencySum / own.successes - median(latencies) >= minimumConfirmedSlowdown + error;
}

void ServiceHealth::eject(util::Time now, std::vector<EjectionDecision>& decisions)
{
    std::vector<std::pair<double, State*>> candidates;
    const auto scores = sortedScores();
    for (auto& [name, state] : m_states) {
        const double excess = excessOverMedian(state.evidence.score(), scores);
        const auto ejectionState = state.ejection.state();
        if (ejectionState != EjectionState::Ejected && excess >= threshold(ejectionState)
            && isConfirmed(state, now))
            candidates.emplace_back(excess, &state);
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [excess, state] : candidates) {
        const int slotsLost = countsForFloor(*state) ? state->target.slots : 0;
        if (slotsLost > 0 && servingSlots() - slotsLost < floorSlots()) {
            recordKeptByFloor(*state, excess, now, decisions);
            continue;
        }
        state->ejection.eject(now);
        TARRAGONHAVEN_CHECK(slotsLost == 0 || servingSlots() >= floorSlots(),
            "ejection must not take the serving slots below the floor");
        decisions.push_back(makeDecision(*state, EjectionEvent::Ejected, excess));
    }
}

// If targets leave while others are ejected, reinstates the ejected ones with the least evidence until the
// floor is met.
void ServiceHealth::restoreFloor(util::Time now, std::vector<EjectionDecision>& decisions)
{
    while (servingSlots() < floorSlots()) {
        State* best = nullptr;
        for (auto& [name, state] : m_states) {
            const bool eligible
                = !state.leaving && state.target.takesRequests() && !state.evidence.lastReport().draining;
            if (!eligible || state.ejection.state() != EjectionState::Ejected)
                continue;
            if (!best || state.evidence.score() < best->evidence.score())
                best = &state;
        }
        if (!best)
            return;
        best->ejection.reinstate(now);
        best->evidence.resetScores();
        decisions.push_back(makeDecision(*best, EjectionEvent::Reinstated, 0));
    }
}

std::vector<EjectionDecision> ServiceHealth::evaluate(util::Time now)
{
    std::vector<EjectionDecision> decisions;
    advanceEjectionStates(now, decisions);
    subtractCommonEvidence();
    updateSuspicions(now);
    eject(now, decisions);
    restoreFloor(now, decisions);
    m_evaluationNeeded = std::any_of(m_states.begin(), m_states.end(),
        [](const auto& item) { return item.second.ejection.state() != EjectionState::Active; });
    return decisions;
}

double ServiceHealth::secondsSinceSuccess(const State& state, util::Time now)
{
    const auto& report = state.evidence.lastReport();
    if (report.sinceSuccessMs < 0 || state.lastReport == util::Time {})
        return maximumSecondsSinceSuccess;
    const auto age = now - state.lastReport + std::chrono::milliseconds(report.sinceSuccessMs);
    return std::min(maximumSecondsSinceSuccess, util::toSeconds(age));
}

// A slot is free again once the waiting requests have been served. With every slot serving them this takes
// less than one service time for each; other nodes add requests meanwhile.
util::Duration ServiceHealth::fullRetention(const State& state)
{
    if (state.evidence.samples() < minimumSamples)
        return minimumFullRetention;
    const auto serviceTime
        = util::fromSeconds(std::exp2(state.evidence.logLatency()) / microsecondsPerSecond);
    return std::clamp<util::Duration>(
        serviceTime * (1 + state.evidence.lastReport().waiting), minimumFullRetention, maximumFullRetention);
}

double ServiceHealth::limitShare(const State& state, double requestsPerSecond)
{
    if (state.evidence.samples() < minimumSamples)
        return 1;
    const double serviceSeconds = std::exp2(state.evidence.logLatency()) / microsecondsPerSecond;
    return std::clamp(requestsPerSecond * serviceSeconds / state.target.slots, minimumLimitShare, 1.0);
}

bool ServiceHealth::isCold(const State& state, util::Time now)
{
    return now < state.lastReport + std::chrono::milliseconds(state.evidence.lastReport().coldMs);
}

double ServiceHealth::usableShare(const State& state, util::Time now) const
{
    const auto& report = state.evidence.lastReport();
    const double limited = report.requestLimit ? limitShare(state, *report.requestLimit) : 1;
    if (isCold(state, now) && report.coldPace)
        return std::min({ limited, slowStartShare, limitShare(state, *report.coldPace) });
    // The guard of a target whose service paces cold targets knows better than the record.
    const bool reported = m_service.coldStart.limitsRequests() && state.lastReport != util::Time {};
    return limited * (now < state.target.slowStartUntil && !reported ? slowStartShare : 1);
}

std::vector<TargetView> ServiceHealth::views(util::Time now) const
{
    std::vector<double> latencies;
    for (const auto& [name, state] : m_states) {
        if (state.evidence.samples() >= minimumSamples)
            latencies.push_back(state.evidence.logLatency());
    }
    const double medianLogLatency = median(latencies);
    std::vector<TargetView> result;
    for (const auto& [name, state] : m_states) {
        TargetView view;
        view.target = &state.target;
        view.ejectionState = state.ejection.state();
        const bool draining
            = state.evidence.lastReport().draining && now < state.lastReport + drainingRetention;
        view.leaving = state.leaving || !state.target.takesRequests() || draining;
        view.weight = state.ejection.weight(now) * usableShare(state, now);
        view.cold = isCold(state, now);
        const auto& report = state.evidence.lastReport();
        const int reported = report.slotsInUse + report.waiting + state.sentSinceReport;
        view.load = static_cast<double>(std::max(reported, state.inFlight)) / state.target.slots;
        view.full = state.inFlight >= state.target.slots
            || (reported >= state.target.slots && now - state.lastReport <= fullRetention(state));
        if (state.lastReport != util::Time {})
            view.reportAge = now - state.lastReport;
        if (state.evidence.samples() >= minimumSamples) {
            view.slowdown = std::max(1.0, std::exp2(state.evidence.logLatency() - medianLogLatency));
            view.holdSeconds = std::exp2(state.evidence.logLatency()) / microsecondsPerSecond;
        }
        view.servedSinceReport = state.servedSinceReport;
        view.secondsSinceSuccess = secondsSinceSuccess(state, now);
        view.blocksIdempotent
            = now < state.lastReport + std::chrono::milliseconds(report.idempotentBlockedMs);
        view.blocksNonIdempotent
            = now < state.lastReport + std::chrono::milliseconds(report.nonIdempotentBlockedMs);
        view.limited = now < state.lastReport + std::chrono::milliseconds(report.limitedMs);
        result.push_back(view);
    }
    return result;
}

} // namespace tarragonhaven
