#include "tarragonhaven/evacuation/evacuation_announcer.h"

#include "tarragonhaven/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace tarragonhaven {

void EvacuationAnnouncer::apply(DirectoryPointer directory, util::Time now)
{
    m_directory = std::move(directory);
    const auto& evacuated = m_directory->evacuated();
    for (const auto& dataCentre : evacuated) {
        auto& state = m_states[dataCentre];
        if (!state.evacuated)
            state = { true, now, now, 0 };
    }
    for (auto& [dataCentre, state] : m_states) {
        if (state.evacuated && !evacuated.contains(dataCentre))
            state = { false, now, now, 0 };
    }
}

bool EvacuationAnnouncer::informs(
    const InstanceName& guard, unsigned round, const std::vector<InstanceName>& nodes) const
{
    const auto count = round == 0 ? firstReporters : repeatingReporters;
    for (std::size_t i = 0; i < count; ++i) {
        const auto draw = rendezvousWeight(guard.text, absl::StrCat(round, ":", i));
        if (nodes[draw % nodes.size()] == m_self)
            return true;
    }
    return false;
}

std::vector<EvacuationAnnouncement> EvacuationAnnouncer::take(util::Time now)
{
    std::erase_if(m_states, [now](const auto& item) {
        return !item.second.evacuated && now - item.second.changedAt > withdrawalRepeats;
    });
    std::vector<EvacuationAnnouncement> announcements;
    std::vector<InstanceName> nodes;
    for (auto& [dataCentre, state] : m_states) {
        if (now < state.dueAt)
            continue;
        if (nodes.empty()) {
            for (const auto& [name, instance] : m_directory->instances())
                nodes.push_back(name);
        }
        for (const auto& [name, instance] : m_directory->instances()) {
            if (instance.dataCentre == dataCentre && name != m_self && informs(name, state.round, nodes))
                announcements.push_back(
                    { instance.peerAddress, { dataCentre.text, state.evacuated, m_directory->asOf() } });
        }
        ++state.round;
        state.dueAt = now + repeatInterval;
    }
    return announcements;
}

} // namespace tarragonhaven
