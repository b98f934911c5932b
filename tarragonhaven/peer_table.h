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
    void recordPing(const InstanceName& peer, util::Time now);
    // Any message of the peer.
    void recordMessage(const InstanceName& peer, std::uint64_t incarnation, util::Time now);
    void recordState(const InstanceName& peer, Revision revision, bool leaving);
    void keepOnly(const std::set<InstanceName>& declared);

    [[nodiscard]] const PeerState* find(const InstanceName& peer) const;
    [[nodiscard]] std::set<InstanceName> leaving() const;
    // Of the peers that were pinged within `within`, how many there are and how many were heard within it.
    struct Reachability {
        int pinged = 0;
        int responded = 0;
    };
    [[nodiscard]] Reachability reachability(util::Time now, util::Duration window) const;

private:
    std::map<InstanceName, PeerState> m_peers;
};

} // namespace tarragonhaven
