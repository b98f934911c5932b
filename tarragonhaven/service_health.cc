// Candidates are ranked by evidence and ejected from the worst on while the floor allows. An evaluation costs
// O(n log n) in the targets of the service, a report O(n) for the median that it is compared with.

#include "tarragonhaven/service_health.h"

#include "util/check.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace tarragonhaven {

namespace {

    constexpr double fastThreshold = 8;
    constexpr double balancedThreshold = 12;
    constexpr double carefulThreshold = 18;
    // A target on probation or ramping needs less evidence to go again.
    constexpr double returningFactor = 0.6;
    constexpr long fewestSamples = 3;
    // How much evidence against a target one unit against the others' median explains. When the whole service
    // changes, evidence rises against all, unevenly, until the averages have followed.
    constexpr double sharedWeight = 3;
    constexpr double suspectScore = 3;
    // How long the others' answers are waited for, in case they get no requests.
    constexpr util::Duration othersPatience = std::chrono::seconds(2);
    constexpr util::Duration keptLogInterval = std::chrono::seconds(5);
    constexpr int percent = 100;
    // The share of its slots at which a target is used while it says that it is slow after its start.
    constexpr double coldShare = 0.4;
    // Beyond this a good answer says nothing of the present, in seconds.
    constexpr double longestUnproven = 4;

    // An answer on probation proves nothing if it is slower than the others' by more than this base-2
    // logarithm.
    constexpr double provingSlowdown = 1.0;
    // What confirms evidence: slower than the others by this, as a base-2 logarithm, beyond the error of the
    // comparison, which is that of answers that spread by `answerSpread`; or failing more by this share.
    constexpr double confirmingSlowdown = 0.7;
    constexpr double answerSpread = 2;
    constexpr double confirmingShare = 0.05;
    // Standard errors by which a difference of failure shares must exceed that.
    constexpr double shareErrors = 3;

    struct Progress {
        double answers = 0;
        double failures = 0;
        double logLatencySum = 0;
    };

    // What a target has answered since its counters were noted. A guard that restarted counts from zero.
    Progress progressSince(
        const std::map<TargetName, TargetReport>& then, const TargetName& name, const TargetReport& report)
    {
        const auto found = then.find(name);
        const bool same = found != then.end() && found->second.incarnation == report.incarnation;
        const TargetReport base = same ? found->second : TargetReport {};
        return { static_cast<double>(report.answers - base.answers),
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

std::string_view name(EjectionEvent event)
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

ServiceHealth::ServiceHealth(Service service, EjectionOptions standing)
    : m_service(std::move(service))
    , m_standing(standing)
{
    update(m_service);
}

void ServiceHealth::update(const Service& service)
{
    m_service = service;
    m_touched = true;
    std::set<TargetName> declared;
    for (const auto& target : m_service.targets) {
        declared.insert(target.name);
        const auto found = m_states.find(target.name);
        if (found != m_states.end() && found->second.target.birth != target.birth)
            m_states.erase(found);
        auto& state = m_states.try_emplace(target.name, m_standing).first->second;
        state.target = target;
    }
    std::erase_if(m_states, [&declared](const auto& item) { return !declared.contains(item.first); });
}

PeerBaseline ServiceHealth::baselineFor(const TargetName& target) const
{
    std::vector<double> latencies;
    std::vector<double> shares;
    for (const auto& [name, state] : m_states) {
        if (name == target || state.evidence.samples() < fewestSamples)
            continue;
        latencies.push_back(state.evidence.logLatency());
        shares.push_back(state.evidence.failureShare());
    }
    const bool known = !latencies.empty();
    return { median(latencies), median(shares), known };
}

void ServiceHealth::noteReport(const TargetName& target, const TargetReport& report, util::Time now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    auto& state = found->second;
    const auto baseline = baselineFor(target);
    const auto delta = state.evidence.noteReport(report, baseline);
    if (!delta.fresh)
        return;
    state.sentSinceReport = 0;
    state.lastReport = now;
    m_touched = true;
    const bool typical = !baseline.known || delta.meanLogLatency <= baseline.logLatency + provingSlowdown;
    if (delta.failures == 0 && delta.answers > 0 && typical)
        state.standing.recordSuccesses(delta.answers, now);
}

void ServiceHealth::notePathFailure(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    m_touched = true;
    found->second.evidence.notePathFailure(baselineFor(target));
}

void ServiceHealth::noteWaiting(const TargetName& target, util::Duration age, util::Duration previousAge)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    m_touched = true;
    found->second.evidence.noteWaiting(age, previousAge, baselineFor(target));
}

void ServiceHealth::noteSent(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    ++found->second.sentSinceReport;
    ++found->second.inFlight;
}

void ServiceHealth::noteReturned(const TargetName& target)
{
    const auto found = m_states.find(target);
    if (found != m_states.end())
        found->second.inFlight = std::max(0, found->second.inFlight - 1);
}

void ServiceHealth::markLeaving(const std::set<InstanceName>& instances)
{
    m_touched = true;
    for (auto& [name, state] : m_states)
        state.leaving = instances.contains(state.target.instance);
}

bool ServiceHealth::countsForFloor(const State& state)
{
    const auto standing = state.standing.state();
    const bool trusted = standing == EjectionState::Active || standing == EjectionState::Ramp;
    return trusted && !state.leaving && !state.target.leaving && !state.evidence.lastReport().draining;
}

int ServiceHealth::slotsInUse() const
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
        slots += state.target.leaving ? 0 : state.target.slots;
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

// The median of the others is found in the sorted scores of all by leaving one with the own score out.
double ServiceHealth::excessOf(double own, const std::vector<double>& sorted)
{
    if (sorted.size() < 2)
        return own;
    const auto middle = (sorted.size() - 2) / 2;
    const auto place
        = static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), own) - sorted.begin());
    return own - sharedWeight * sorted[place <= middle ? middle + 1 : middle];
}

double ServiceHealth::excessScore(const TargetName& target) const
{
    const auto found = m_states.find(target);
    return found == m_states.end() ? 0 : excessOf(found->second.evidence.score(), sortedScores());
}

double ServiceHealth::threshold(EjectionState standing) const
{
    const double full = m_service.sensitivity == EjectionSensitivity::Fast ? fastThreshold
        : m_service.sensitivity == EjectionSensitivity::Careful            ? carefulThreshold
                                                                           : balancedThreshold;
    return standing == EjectionState::Active ? full : full * returningFactor;
}

EjectionDecision ServiceHealth::decision(const State& state, EjectionEvent event, double score) const
{
    return { state.target.name, event, score, slotsInUse(), floorSlots() };
}

void ServiceHealth::advanceStandings(util::Time now, std::vector<EjectionDecision>& decisions)
{
    for (auto& [name, state] : m_states) {
        const auto before = state.standing.state();
        state.standing.advance(now);
        const auto after = state.standing.state();
        if (before == EjectionState::Ejected && after == EjectionState::Probation) {
            state.evidence.resetScores();
            decisions.push_back(decision(state, EjectionEvent::ProbationStarted, 0));
        }
        if (before == EjectionState::Ramp && after == EjectionState::Active)
            decisions.push_back(decision(state, EjectionEvent::Recovered, state.evidence.score()));
    }
}

void ServiceHealth::noteKeptByFloor(
    const State& state, double score, util::Time now, std::vector<EjectionDecision>& decisions)
{
    auto& logged = m_keptLogged[state.target.name];
    if (now - logged < keptLogInterval)
        return;
    logged = now;
    decisions.push_back(decision(state, EjectionEvent::KeptByFloor, score));
}

// What stands against most targets is a change of the service, not of a target.
void ServiceHealth::removeCommonEvidence()
{
    auto scores = sortedScores();
    const double common = median(scores);
    if (common <= 0)
        return;
    for (auto& [name, state] : m_states)
        state.evidence.removeCommon(common);
}

void ServiceHealth::noteSuspicions(util::Time now)
{
    for (auto& [name, state] : m_states) {
        if (state.evidence.score() < suspectScore) {
            state.suspectSince.reset();
            state.countersThen.clear();
        } else if (!state.suspectSince) {
            state.suspectSince = now;
            for (const auto& [other, otherState] : m_states)
                state.countersThen[other] = otherState.evidence.lastReport();
        }
    }
}

// Compares what this target has answered since the evidence against it rose with what the others have
// answered in the same time. A change of the whole service shows there against all alike, however unevenly it
// met the averages that the evidence is made from. While the others have not answered, the comparison is
// waited for, but not long.
bool ServiceHealth::confirmed(const State& state, util::Time now) const
{
    if (!state.suspectSince)
        return true;
    std::vector<double> latencies;
    std::vector<double> shares;
    double othersAnswers = 0;
    double othersFailures = 0;
    for (const auto& [name, other] : m_states) {
        const auto since = progressSince(state.countersThen, name, other.evidence.lastReport());
        if (&other == &state || since.answers + since.failures == 0)
            continue;
        shares.push_back(since.failures / (since.answers + since.failures));
        if (since.answers > 0)
            latencies.push_back(since.logLatencySum / since.answers);
        othersAnswers += since.answers;
        othersFailures += since.failures;
    }
    const bool waited = now - *state.suspectSince > othersPatience;
    if (2 * shares.size() + 1 < m_states.size())
        return waited;
    const auto own = progressSince(state.countersThen, state.target.name, state.evidence.lastReport());
    if (own.answers + own.failures == 0)
        return true;
    const double ownCount = own.answers + own.failures;
    const double othersCount = othersAnswers + othersFailures;
    const double pooled = (own.failures + othersFailures) / (ownCount + othersCount);
    const double shareError = std::sqrt(pooled * (1 - pooled) * (1 / ownCount + 1 / othersCount));
    const double share = own.failures / ownCount;
    const bool fails = share - median(shares) >= confirmingShare + shareErrors * shareError;
    if (own.answers == 0 || latencies.empty())
        return fails;
    const double error = answerSpread * std::sqrt(1 / own.answers + 1 / othersAnswers);
    return fails || own.logLatencySum / own.answers - median(latencies) >= confirmingSlowdown + error;
}

void ServiceHealth::eject(util::Time now, std::vector<EjectionDecision>& decisions)
{
    std::vector<std::pair<double, State*>> candidates;
    const auto scores = sortedScores();
    for (auto& [name, state] : m_states) {
        const double excess = excessOf(state.evidence.score(), scores);
        const auto standing = state.standing.state();
        if (standing != EjectionState::Ejected && excess >= threshold(standing) && confirmed(state, now))
            candidates.emplace_back(excess, &state);
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [excess, state] : candidates) {
        const int lost = countsForFloor(*state) ? state->target.slots : 0;
        if (lost > 0 && slotsInUse() - lost < floorSlots()) {
            noteKeptByFloor(*state, excess, now, decisions);
            continue;
        }
        state->standing.eject(now);
        TARRAGONHAVEN_CHECK(lost == 0 || slotsInUse() >= floorSlots(), "an ejection leaves the floor in use");
        decisions.push_back(decision(*state, EjectionEvent::Ejected, excess));
    }
}

// When targets leave while others are ejected, the ejected ones with the least evidence come back.
void ServiceHealth::restoreFloor(util::Time now, std::vector<EjectionDecision>& decisions)
{
    while (slotsInUse() < floorSlots()) {
        State* best = nullptr;
        for (auto& [name, state] : m_states) {
            const bool usable
                = !state.leaving && !state.target.leaving && !state.evidence.lastReport().draining;
            if (!usable || state.standing.state() != EjectionState::Ejected)
                continue;
            if (!best || state.evidence.score() < best->evidence.score())
                best = &state;
        }
        if (!best)
            return;
        best->standing.reinstate(now);
        best->evidence.resetScores();
        decisions.push_back(decision(*best, EjectionEvent::Reinstated, 0));
    }
}

std::vector<EjectionDecision> ServiceHealth::evaluate(util::Time now)
{
    std::vector<EjectionDecision> decisions;
    advanceStandings(now, decisions);
    removeCommonEvidence();
    noteSuspicions(now);
    eject(now, decisions);
    restoreFloor(now, decisions);
    m_touched = std::any_of(m_states.begin(), m_states.end(),
        [](const auto& item) { return item.second.standing.standing() != EjectionState::Active; });
    return decisions;
}

double ServiceHealth::unprovenSeconds(const State& state, util::Time now)
{
    const auto& report = state.evidence.lastReport();
    if (report.provenMs < 0 || state.lastReport == util::Time {})
        return longestUnproven;
    const auto age = now - state.lastReport + std::chrono::milliseconds(report.provenMs);
    return std::min(longestUnproven, util::toSeconds(age));
}

std::vector<TargetView> ServiceHealth::views(util::Time now) const
{
    std::vector<double> latencies;
    for (const auto& [name, state] : m_states) {
        if (state.evidence.samples() >= fewestSamples)
            latencies.push_back(state.evidence.logLatency());
    }
    const double typical = median(latencies);
    std::vector<TargetView> result;
    for (const auto& [name, state] : m_states) {
        TargetView view;
        view.target = &state.target;
        view.ejectionState = state.standing.state();
        view.leaving = state.leaving || state.target.leaving || state.evidence.lastReport().draining;
        view.weight = state.standing.weight(now) * (now < state.target.coldUntil ? coldShare : 1);
        const auto& report = state.evidence.lastReport();
        const int reported = report.slotsInUse + report.queued + state.sentSinceReport;
        view.load = static_cast<double>(std::max(reported, state.inFlight)) / state.target.slots;
        if (state.evidence.samples() >= fewestSamples)
            view.slowdown = std::max(1.0, std::exp2(state.evidence.logLatency() - typical));
        view.unprovenSeconds = unprovenSeconds(state, now);
        view.held = now < state.lastReport + std::chrono::milliseconds(report.heldMs);
        view.heldForOthers = now < state.lastReport + std::chrono::milliseconds(report.heldOthersMs);
        result.push_back(view);
    }
    return result;
}

} // namespace tarragonhaven
