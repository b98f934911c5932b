#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/revision.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace tarragonhaven {

// What a node has heard of its peers lately.
struct PeerState {
    std::uint64_t incarnation = 0;
    util::Time lastHeard {};
    util::Time lastPinged {};
    Revision revision = 0;
    bool leaving = false;
};

class PeerTable {
public:
    void notePinged(const InstanceName& peer, util::Time now);
    // Any message of the peer.
    void noteHeard(const InstanceName& peer, std::uint64_t incarnation, util::Time now);
    void noteState(const InstanceName& peer, Revision revision, bool leaving);
    void keepOnly(const std::set<InstanceName>& declared);

    [[nodiscard]] const PeerState* find(const InstanceName& peer) const;
    [[nodiscard]] std::set<InstanceName> leaving() const;
    // Of the peers that were pinged within `within`, how many there are and how many were heard within it.
    struct Reach {
        int pinged = 0;
        int heard = 0;
    };
    [[nodiscard]] Reach reach(util::Time now, util::Duration within) const;

private:
    std::map<InstanceName, PeerState> m_peers;
};

} // namespace tarragonhaven
