// In each data centre a shard is assigned to one group by rendezvous hashing of the groups' names. Within the
// group, the order of the members is that of the MemberSet. Constructing a member set takes 256 hashes for
// each member, so sets are reused as long as their members stay the same.

#include "tarragonhaven/ownership_map.h"

#include "tarragonhaven/rendezvous.h"

#include <algorithm>

namespace tarragonhaven {

void OwnershipMap::apply(const FleetIndex& index)
{
    m_groups = index.groups;
    m_dataCentres.clear();
    std::map<std::vector<InstanceName>, SetPointer> sets;
    for (const auto& name : index.dataCentres) {
        DataCentreGroups dataCentreGroups { name, {}, {} };
        std::vector<std::string> groupNames;
        for (const auto& group : index.groups) {
            if (group.dataCentre != name)
                continue;
            const auto known = m_sets.find(group.members);
            auto set
                = known != m_sets.end() ? known->second : std::make_shared<const MemberSet>(group.members);
            sets.emplace(group.members, set);
            dataCentreGroups.groups.push_back(std::move(set));
            groupNames.push_back(group.name);
        }
        assignShards(dataCentreGroups, groupNames);
        m_dataCentres.push_back(std::move(dataCentreGroups));
    }
    m_sets = std::move(sets);
}

void OwnershipMap::assignShards(
    DataCentreGroups& dataCentreGroups, const std::vector<std::string>& groupNames)
{
    dataCentreGroups.groupOfShard.assign(ownershipShards, 0);
    if (groupNames.size() < 2)
        return;
    for (int shard = 0; shard < ownershipShards; ++shard) {
        const auto first = rendezvousOrder("group-" + std::to_string(shard), groupNames).front();
        const auto found = std::find(groupNames.begin(), groupNames.end(), first);
        dataCentreGroups.groupOfShard.at(static_cast<std::size_t>(shard))
            = static_cast<std::uint16_t>(found - groupNames.begin());
    }
}

std::vector<InstanceName> OwnershipMap::candidates(std::size_t dataCentre, int shard) const
{
    if (dataCentre >= m_dataCentres.size() || m_dataCentres[dataCentre].groups.empty())
        return {};
    const auto& dataCentreGroups = m_dataCentres[dataCentre];
    return dataCentreGroups.groups.at(dataCentreGroups.groupOfShard.at(static_cast<std::size_t>(shard)))
        ->ownerOrder(shard);
}

std::optional<std::size_t> OwnershipMap::indexOf(const DataCentreName& name) const
{
    const auto found = std::find_if(m_dataCentres.begin(), m_dataCentres.end(),
        [&name](const DataCentreGroups& dataCentreGroups) { return dataCentreGroups.name == name; });
    if (found == m_dataCentres.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_dataCentres.begin());
}

std::optional<OwnershipGroup> OwnershipMap::groupOf(const InstanceName& instance) const
{
    for (const auto& group : m_groups) {
        if (std::find(group.members.begin(), group.members.end(), instance) != group.members.end())
            return group;
    }
    return std::nullopt;
}

} // namespace tarragonhaven
