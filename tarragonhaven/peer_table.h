#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/revision.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace tarragonhaven {

// The state of a peer, as known from its last messages. Times of zero mean "never".
struct PeerState {
    std::uint64_t incarnation = 0;
    util::Time lastHeard {};
    util::Time lastPinged {};
    Revision revision = 0;
    bool leaving = false;
};

// The states of the peers of this node. Not thread-safe.
class PeerTable {
public:
    // Records that this node has sent a ping to `peer`.
    void recordPing(const InstanceName& peer, util::Time now);
    // Records that a message from `peer` has arrived. A new incarnation counts as not
    // leaving until recordState() reports otherwise.
    void recordMessage(const InstanceName& peer, std::uint64_t incarnation, util::Time now);
    // Records the revision that `peer` holds and whether it is leaving.
    void recordState(const InstanceName& peer, Revision revision, bool leaving);
    // Removes the peers that are not in `declared`.
    void keepOnly(const std::set<InstanceName>& declared);

    // Returns the state of `peer`, or null if it is unknown.
    [[nodiscard]] const PeerState* find(const InstanceName& peer) const;
    // Returns the names of the peers that are leaving.
    [[nodiscard]] std::set<InstanceName> leaving() const;
    // The number of peers that were pinged within a time window, and how many of these have sent a message
    // within the same window.
    struct Reachability {
        int pinged = 0;
        int responded = 0;
    };
    // Returns the counts for the time from `window` before `now` until `now`.
    [[nodiscard]] Reachability reachability(util::Time now, util::Duration window) const;

private:
    std::map<InstanceName, PeerState> m_peers;
};

} // namespace tarragonhaven
