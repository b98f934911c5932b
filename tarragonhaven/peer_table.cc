#include "tarragonhaven/peer_table.h"

namespace tarragonhaven {

void PeerTable::notePinged(const InstanceName& peer, util::Time now) { m_peers[peer].lastPinged = now; }

void PeerTable::noteHeard(const InstanceName& peer, std::uint64_t incarnation, util::Time now)
{
    auto& state = m_peers[peer];
    if (incarnation != state.incarnation)
        state.leaving = false;
    state.incarnation = incarnation;
    state.lastHeard = now;
}

void PeerTable::noteState(const InstanceName& peer, Revision revision, bool leaving)
{
    auto& state = m_peers[peer];
    state.revision = revision;
    state.leaving = leaving;
}

void PeerTable::keepOnly(const std::set<InstanceName>& declared)
{
    std::erase_if(m_peers, [&declared](const auto& item) { return !declared.contains(item.first); });
}

const PeerState* PeerTable::find(const InstanceName& peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::set<InstanceName> PeerTable::leaving() const
{
    std::set<InstanceName> names;
    for (const auto& [name, state] : m_peers) {
        if (state.leaving)
            names.insert(name);
    }
    return names;
}

PeerTable::Reach PeerTable::reach(util::Time now, util::Duration within) const
{
    Reach reach;
    for (const auto& [name, state] : m_peers) {
        if (state.lastPinged == util::Time {} || now - state.lastPinged > within)
            continue;
        ++reach.pinged;
        const bool heard = state.lastHeard != util::Time {} && now - state.lastHeard <= within;
        reach.heard += heard ? 1 : 0;
    }
    return reach;
}

} // namespace tarragonhaven
