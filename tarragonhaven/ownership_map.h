#pragma once

#include "tarragonhaven/fleet_index.h"
#include "tarragonhaven/member_set.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven {

// Who owns which organisation in each data centre, under one configuration. It says who should own; whether
// that node may act is for the node itself to know (ownership_tracker.h).
class OwnershipMap {
public:
    // Takes over a configuration. Member sets that stay are kept as they are.
    void apply(const FleetIndex& index);

    // The instances that are called to own a shard in a data centre, by index, in order; empty when the data
    // centre has no group.
    [[nodiscard]] std::vector<InstanceName> candidates(std::size_t dataCentre, int shard) const;
    [[nodiscard]] std::size_t dataCentres() const { return m_dataCentres.size(); }
    // The index of a data centre, or nothing.
    [[nodiscard]] std::optional<std::size_t> indexOf(const DataCentreName& name) const;
    // The group that an instance belongs to, or nothing.
    [[nodiscard]] std::optional<OwnershipGroup> groupOf(const InstanceName& instance) const;

private:
    using SetPointer = std::shared_ptr<const MemberSet>;
    struct DataCentreGroups {
        DataCentreName name;
        std::vector<SetPointer> groups;
        // For each shard the index of its group.
        std::vector<std::uint16_t> groupOfShard;
    };

    static void assignShards(DataCentreGroups& dataCentreGroups, const std::vector<std::string>& groupNames);

    std::vector<DataCentreGroups> m_dataCentres;
    std::map<std::vector<InstanceName>, SetPointer> m_sets;
    std::vector<OwnershipGroup> m_groups;
};

} // namespace tarragonhaven
