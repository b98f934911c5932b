#pragma once

#include "tarragonhaven/service.h"
#include "tarragonhaven/target_ejection.h"
#include "tarragonhaven/target_evidence.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tarragonhaven {

// A change of a target's ejection state, or an ejection that the floor prevented, for the log.
enum class EjectionEvent {
    Ejected,
    // The evidence sufficed for an ejection, but the floor requires the target.
    KeptByFloor,
    // The ejection ended early, because other targets left and the floor requires this one.
    Reinstated,
    ProbationStarted,
    RampStarted,
    Recovered,
};

std::string_view toString(EjectionEvent event);

struct EjectionDecision {
    TargetName target;
    EjectionEvent event = EjectionEvent::Ejected;
    // Evidence against the target beyond what the evidence against the service's other targets explains.
    double score = 0;
    // Serving slots after the decision, and the floor, in slots.
    int servingSlots = 0;
    int floorSlots = 0;

    friend auto operator<=>(const EjectionDecision&, const EjectionDecision&) = default;
    friend bool operator==(const EjectionDecision&, const EjectionDecision&) = default;
};

// The state of a target as the target chooser uses it.
struct TargetView {
    const Target* target = nullptr;
    EjectionState ejectionState = EjectionState::Active;
    bool leaving = false;
    // The share of its slots for which the target should be used.
    double weight = 1;
    // Requests at the target per slot: those that its guard reported plus those that this node has sent since
    // then, or this node's outstanding requests if they are more.
    double load = 0;
    // Whether the target is known to have no free slot. What its guard reported counts only until its queue
    // has probably been served.
    bool full = false;
    // Time to first byte as a multiple of the service's median; at least 1.
    double slowdown = 1;
    // Seconds since the target's last success, as far as this node knows; capped at 4, and 4 if unknown.
    double secondsSinceSuccess = 0;
    // Whether the breaker at the target's guard refuses idempotent requests, and whether it refuses all
    // others.
    bool blocksIdempotent = false;
    bool blocksNonIdempotent = false;
    // Whether the limit that the target has named, or its pace while it is cold, admits no further request
    // now.
    bool limited = false;
    bool cold = false;
    // The time since the last report of its guard; the longest possible one without a report.
    util::Duration reportAge = util::Duration::max();
    // The typical time of a request at the target, in seconds; 0 if not known.
    double holdSeconds = 0;
    // Responses of the target to this node since its last report, or along with it. The report still counts
    // their requests as running.
    int servedSinceReport = 0;
};

// One node's view of the targets of one service: the evidence against each target, the ejection states, and
// the decisions to eject.
//
// A target is ejected when the evidence against it exceeds what the median of the others explains by the
// threshold of the service's sensitivity, a comparison with the responses of at least half of the other
// targets since that evidence rose confirms it, and the slots of the remaining active targets stay at or
// above the floor. A service that fails as a whole therefore loses no target, and if the floor limits the
// number of ejections, the worst targets go first. If fewer than half of the others respond, the comparison
// is skipped after 2 s.
class ServiceHealth {
public:
    explicit ServiceHealth(Service service, EjectionOptions ejectionOptions = {});

    // Applies a new declaration of the same service. Targets that stay keep their evidence, unless they have
    // restarted.
    void update(const Service& service);
    // Record a report of a target's guard, a failure on the path to the guard, and a request that has waited
    // for its first byte for `age`. `previousAge` is the age at which the same request was recorded before,
    // or zero.
    void recordReport(const TargetName& target, const TargetReport& report, util::Time now);
    void recordPathFailure(const TargetName& target);
    void recordWaiting(const TargetName& target, util::Duration age, util::Duration previousAge);
    // Record that this node sent a request to a target, and that such a request has ended.
    void recordSent(const TargetName& target);
    void recordCompleted(const TargetName& target);
    // Records that the head of a response of the target has arrived.
    void recordServed(const TargetName& target);
    // Marks the targets of `instances`, which are leaving or have left, and clears the mark of all others.
    void markLeaving(const std::set<InstanceName>& instances);

    // Returns whether an evaluation would change nothing: since the last one there was no new evidence and no
    // change of the targets, and every target is active.
    [[nodiscard]] bool upToDate() const { return !m_evaluationNeeded; }
    // Advances the ejection states and decides on ejections. Returns the decisions, for the log.
    std::vector<EjectionDecision> evaluate(util::Time now);

    [[nodiscard]] std::vector<TargetView> views(util::Time now) const;
    [[nodiscard]] const Service& service() const { return m_service; }
    // Returns the slots, free or held, of the targets that are active or ramping and neither leave nor drain.
    [[nodiscard]] int servingSlots() const;
    // Returns the floor in slots: the service's share of the slots of all targets that the directory does not
    // list as leaving or evacuated, rounded up. Instances that are leaving still count.
    [[nodiscard]] int floorSlots() const;
    // Returns the evidence against a target beyond what the median of the other targets explains.
    [[nodiscard]] double excessScore(const TargetName& target) const;

private:
    struct State {
        explicit State(EjectionOptions options)
            : ejection(options)
        {
        }
        Target target;
        TargetEvidence evidence;
        TargetEjection ejection;
        bool leaving = false;
        int sentSinceReport = 0;
        int servedSinceReport = 0;
        int inFlight = 0;
        util::Time lastReport {};
        // When the score reached `suspicionScore`; not set while it is below.
        std::optional<util::Time> suspectSince;
        // The counters of every target at the time `suspectSince`.
        std::map<TargetName, TargetReport> countersAtSuspicion;
    };
    using States = std::map<TargetName, State>;

    // Returns how long a report that all slots are in use counts.
    static util::Duration fullRetention(const State& state);
    // Returns the share of its slots that a target can use within a limit in requests per second.
    static double limitShare(const State& state, double requestsPerSecond);
    // Returns the share of its slots for which a target is used within its limit and its pace while it is
    // cold, or slow after its start.
    [[nodiscard]] double usableShare(const State& state, util::Time now) const;
    // Returns whether the target is cold, as its guard reported.
    static bool isCold(const State& state, util::Time now);
    static double secondsSinceSuccess(const State& state, util::Time now);
    static bool countsForFloor(const State& state);
    [[nodiscard]] std::vector<double> sortedScores() const;
    static double excessOverMedian(double own, const std::vector<double>& sorted);
    [[nodiscard]] ServiceBaseline baselineFor(const TargetName& target) const;
    [[nodiscard]] double threshold(EjectionState ejectionState) const;
    [[nodiscard]] EjectionDecision makeDecision(const State& state, EjectionEvent event, double score) const;
    void advanceEjectionStates(util::Time now, std::vector<EjectionDecision>& decisions);
    void eject(util::Time now, std::vector<EjectionDecision>& decisions);
    void restoreFloor(util::Time now, std::vector<EjectionDecision>& decisions);
    void subtractCommonEvidence();
    void updateSuspicions(util::Time now);
    [[nodiscard]] bool isConfirmed(const State& state, util::Time now) const;
    void recordKeptByFloor(
        const State& state, double score, util::Time now, std::vector<EjectionDecision>& decisions);

    Service m_service;
    EjectionOptions m_ejectionOptions;
    States m_states;
    std::map<TargetName, util::Time> m_keptByFloorLoggedAt;
    bool m_evaluationNeeded = true;
};

} // namespace tarragonhaven
