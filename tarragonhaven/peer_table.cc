#include "tarragonhaven/peer_table.h"

namespace tarragonhaven {

void PeerTable::recordPing(const InstanceName& peer, util::Time now) { m_peers[peer].lastPinged = now; }

void PeerTable::recordMessage(const InstanceName& peer, std::uint64_t incarnation, util::Time now)
{
    auto& state = m_peers[peer];
    if (incarnation != state.incarnation)
        state.leaving = false;
    state.incarnation = incarnation;
    state.lastHeard = now;
}

void PeerTable::recordState(const InstanceName& peer, Revision revision, bool leaving)
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

PeerTable::Reachability PeerTable::reachability(util::Time now, util::Duration window) const
{
    Reachability result;
    for (const auto& [name, state] : m_peers) {
        if (state.lastPinged == util::Time {} || now - state.lastPinged > window)
            continue;
        ++result.pinged;
        const bool heard = state.lastHeard != util::Time {} && now - state.lastHeard <= window;
        result.responded += heard ? 1 : 0;
    }
    return result;
}

} // namespace tarragonhaven
