#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/directory.h"
#include "util/time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace tarragonhaven {

// An announcement of an evacuation, or of its withdrawal, that is due to be sent to a guard.
struct EvacuationAnnouncement {
    Endpoint guardAddress;
    EvacuationMessage message;

    friend bool operator==(const EvacuationAnnouncement&, const EvacuationAnnouncement&) = default;
};

// Decides which guards of evacuated data centres this node informs, since the store may not answer them.
//
// Several nodes inform each guard when an evacuation begins or ends, and two nodes, other ones each time,
// every second while it is in force and for a while after it has ended: messages may be lost, and a guard may
// be cut off from some nodes for a time. Which nodes these are follows from hashes, so nothing is agreed on.
class EvacuationAnnouncer {
public:
    explicit EvacuationAnnouncer(InstanceName self)
        : m_self(std::move(self))
    {
    }

    // Applies a new directory.
    void apply(DirectoryPointer directory, util::Time now);
    // Returns the announcements that are due, and records them as sent.
    std::vector<EvacuationAnnouncement> take(util::Time now);

    // The number of nodes that inform a guard of a change. Several, because a part of them may be cut off
    // from the store or the guard.
    static constexpr std::size_t firstReporters = 8;
    static constexpr std::size_t repeatingReporters = 2;
    static constexpr util::Duration repeatInterval = std::chrono::seconds(1);
    // How long the end of an evacuation is announced.
    static constexpr util::Duration withdrawalRepeats = std::chrono::seconds(10);

private:
    struct State {
        bool evacuated = false;
        util::Time changedAt {};
        util::Time dueAt {};
        unsigned round = 0;
    };

    // Returns whether this node is among those that inform the guard in the given round. `nodes` are all
    // nodes in the order of their names.
    [[nodiscard]] bool informs(
        const InstanceName& guard, unsigned round, const std::vector<InstanceName>& nodes) const;

    InstanceName m_self;
    DirectoryPointer m_directory;
    std::map<DataCentreName, State> m_states;
};

} // namespace tarragonhaven
