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

// What happened to a target's standing, for the log.
enum class EjectionEvent {
    Ejected,
    // The evidence was enough, but the floor needs the target.
    KeptByFloor,
    // Taken back early, since other targets left and the floor needs it.
    Reinstated,
    ProbationStarted,
    RampStarted,
    Recovered,
};

std::string_view name(EjectionEvent event);

struct EjectionDecision {
    TargetName target;
    EjectionEvent event = EjectionEvent::Ejected;
    // The evidence above that against the service's other targets.
    double score = 0;
    // Slots in use after the decision, and the floor, in slots.
    int slotsInUse = 0;
    int floorSlots = 0;

    friend auto operator<=>(const EjectionDecision&, const EjectionDecision&) = default;
    friend bool operator==(const EjectionDecision&, const EjectionDecision&) = default;
};

// What the chooser needs to know of a target.
struct TargetView {
    const Target* target = nullptr;
    EjectionState ejectionState = EjectionState::Active;
    bool leaving = false;
    // The share of its slots that it should be used for.
    double weight = 1;
    // Requests at the target per slot: those that its guard reported and those that this node added since.
    double load = 0;
    // How many times slower than the service's median its first bytes are; at least 1.
    double slowdown = 1;
    // Seconds since the target's last good answer, as far as this node knows; bounded.
    double secondsSinceSuccess = 0;
    // Whether the target's guard holds back requests that may be repeated, and all others.
    bool blocksIdempotent = false;
    bool blocksNonIdempotent = false;
};

// One node's view of the targets of one service: evidence, standings and the ejections that follow from them.
//
// A target is ejected when the evidence against it exceeds what the others' median explains by the threshold
// of the service's stance, most of the others have answered since it rose, and the slots of the remaining
// active targets stay at or above the floor. So a service that fails as a whole loses no target, and the
// worst go first when the floor bounds how many can.
class ServiceHealth {
public:
    explicit ServiceHealth(Service service, EjectionOptions ejectionOptions = {});

    // Takes over a new declaration of the same service. Targets that stay keep their evidence, unless they
    // started anew.
    void update(const Service& service);
    void recordReport(const TargetName& target, const TargetReport& report, util::Time now);
    void recordPathFailure(const TargetName& target);
    void recordWaiting(const TargetName& target, util::Duration age, util::Duration previousAge);
    // A request of this node was sent to a target, or has come back.
    void recordSent(const TargetName& target);
    void recordCompleted(const TargetName& target);
    // Marks the targets of instances that leave or are gone. Others are unmarked.
    void markLeaving(const std::set<InstanceName>& instances);

    // Whether nothing has happened that an evaluation could act on: no evidence is new and every target is
    // active.
    [[nodiscard]] bool upToDate() const { return !m_evaluationNeeded; }
    // Moves standings on and decides on ejections.
    std::vector<EjectionDecision> evaluate(util::Time now);

    [[nodiscard]] std::vector<TargetView> views(util::Time now) const;
    [[nodiscard]] const Service& service() const { return m_service; }
    // The slots of targets that are active or ramping and do not leave.
    [[nodiscard]] int slotsInUse() const;
    [[nodiscard]] int floorSlots() const;
    // The evidence against a target beyond what the median of the others' explains.
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
        int inFlight = 0;
        util::Time lastReport {};
        // When the evidence rose from next to nothing; nothing while it is low.
        std::optional<util::Time> suspectSince;
        // Every target's counters at that moment.
        std::map<TargetName, TargetReport> countersAtSuspicion;
    };
    using States = std::map<TargetName, State>;

    static double secondsSinceSuccess(const State& state, util::Time now);
    static bool countsForFloor(const State& state);
    [[nodiscard]] std::vector<double> sortedScores() const;
    static double excessOverPeers(double own, const std::vector<double>& sorted);
    [[nodiscard]] PeerBaseline baselineFor(const TargetName& target) const;
    [[nodiscard]] double threshold(EjectionState ejectionState) const;
    [[nodiscard]] EjectionDecision decision(const State& state, EjectionEvent event, double score) const;
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
