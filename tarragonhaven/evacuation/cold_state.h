#pragma once

#include "tarragonhaven/evacuation/cold_pace.h"
#include "tarragonhaven/evacuation/cold_start_policy.h"

#include <compare>
#include <optional>
#include <string_view>

namespace tarragonhaven {

// From what a guard concludes that its target is cold, or warm.
enum class ColdSource {
    // The guard, or the target, has just started.
    Start,
    // All connections to the target were lost, or a connection was refused.
    ConnectionsLost,
    EvacuationEnded,
    Record,
    Health,
    // No newer information has come while the target was cold.
    Elapsed,
};

std::string_view toString(ColdSource source);

// A change between cold and warm, for the log.
struct ColdChange {
    bool cold = false;
    ColdSource source = ColdSource::Start;
    // How long the target remains cold, as far as known.
    util::Duration remaining {};

    friend auto operator<=>(const ColdChange&, const ColdChange&) = default;
    friend bool operator==(const ColdChange&, const ColdChange&) = default;
};

// What a guard knows of whether its target is cold, and the pace of the requests to it meanwhile.
//
// A target is assumed cold for the time that its service states, from each moment at which it may have
// started: from the creation of this state, when an evacuation has ended, and whenever no connection has
// stayed open since the target was known to be warm, because a restart closes all of them. A record, or the
// response to a health probe that was sent after that moment, replaces the assumption.
class ColdState {
public:
    ColdState(ColdStartPolicy policy, ColdPaceBound bound, util::Time now);

    // Applies a changed declaration of the service, which must limit requests.
    void setPolicy(const ColdStartPolicy& policy, util::Time now);
    // Records that the target may have started at any moment up to now.
    void assume(ColdSource source, util::Time now);
    // Records that a request has arrived, and whether a connection to the target is open. A probe that was
    // sent a moment ago has one.
    void recordDemand(bool hasOpenConnection, util::Time now);
    // Records what the target's record states, as of when it was read: the end of the time for which the
    // target is cold, or zero if it is not.
    void recordAnnounced(util::Time until, util::Time now);

    // Returns whether a health probe must be sent now; recordProbe() must follow when it has ended.
    bool takeProbe(util::Time now);
    // Records how long the target remains cold as its health response states, or nothing if there is no
    // response that states it.
    void recordProbe(std::optional<util::Duration> remaining, util::Time now);

    [[nodiscard]] bool isCold(util::Time now) const { return now < m_coldUntil; }
    [[nodiscard]] util::Duration remaining(util::Time now) const;
    // The pace; it applies while the target is cold.
    [[nodiscard]] ColdPace& pace() { return m_pace; }
    // Returns the change between cold and warm since the last call, if any.
    std::optional<ColdChange> takeChange(util::Time now);

    // The shortest time between two probes. Three of them fall into one second at most.
    static constexpr util::Duration minimumProbeInterval = std::chrono::milliseconds(500);
    // An older response may have been written before the target became cold.
    static constexpr util::Duration maximumProbeAge = std::chrono::milliseconds(700);

private:
    void becomeColdUntil(util::Time until, ColdSource source, bool mayHaveRequests, util::Time now);

    ColdStartPolicy m_policy;
    ColdPaceBound m_bound;
    ColdPace m_pace;
    util::Time m_coldUntil {};
    ColdSource m_source = ColdSource::Start;
    // Whether the state is an assumption, which a probe may settle.
    bool m_assumed = true;
    bool m_probing = false;
    // Whether the target may have started since the probe in progress was sent.
    bool m_probeOutdated = false;
    util::Time m_probedAt {};
    // Doubles with each probe, so that a target whose connections are lost again and again, without a
    // restart, gets few of them.
    util::Duration m_probeInterval = minimumProbeInterval;
    bool m_reportedCold = false;
};

} // namespace tarragonhaven
