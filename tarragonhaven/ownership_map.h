#pragma once

#include "tarragonhaven/fleet_index.h"
#include "tarragonhaven/member_set.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven {

// Maps the shards of organisations to their possible owners in each data centre, in order of preference,
// under one configuration. Whether an instance may act as owner at a given time is decided by the
// OwnershipTracker of that instance.
class OwnershipMap {
public:
    // Replaces the configuration. Member sets that are unchanged are reused.
    void apply(const FleetIndex& index);

    // Returns the possible owners of a shard in a data centre, given by its index, in order of preference.
    // Returns an empty list if there is no such data centre or if it has no ownership group.
    [[nodiscard]] std::vector<InstanceName> candidates(std::size_t dataCentre, int shard) const;
    [[nodiscard]] std::size_t dataCentreCount() const { return m_dataCentres.size(); }
    // Returns the index of a data centre, or nullopt if it is not in the configuration.
    [[nodiscard]] std::optional<std::size_t> indexOf(const DataCentreName& name) const;
    // Returns the ownership group that an instance is a member of, or nullopt if it is in none.
    [[nodiscard]] std::optional<OwnershipGroup> groupOf(const InstanceName& instance) const;

private:
    using SetPointer = std::shared_ptr<const MemberSet>;
    struct DataCentreGroups {
        DataCentreName name;
        std::vector<SetPointer> groups;
        // The index in `groups` of each shard's group.
        std::vector<std::uint16_t> groupOfShard;
    };

    static void assignShards(DataCentreGroups& dataCentreGroups, const std::vector<std::string>& groupNames);

    std::vector<DataCentreGroups> m_dataCentres;
    std::map<std::vector<InstanceName>, SetPointer> m_sets;
    std::vector<OwnershipGroup> m_groups;
};

} // namespace tarragonhaven
