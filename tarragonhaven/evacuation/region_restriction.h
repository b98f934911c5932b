#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/evacuation/region_table.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tarragonhaven {

// The regions that a request may be sent to, as its route and its organisation declare them. Fails closed: a
// target whose region is unknown is allowed only if nothing restricts the request.
class RegionRestriction {
public:
    RegionRestriction() = default;
    // If both lists are given, both apply. A list without regions allows none.
    RegionRestriction(
        const std::optional<RegionList>& ofRoute, const std::optional<RegionList>& ofOrganisation);

    [[nodiscard]] bool restricts() const { return m_allowed.has_value(); }
    // Returns whether the request may be sent to targets of the data centre.
    [[nodiscard]] bool allows(const DataCentreName& dataCentre, const RegionTable& regions) const;
    // Returns the names of the allowed regions for refusals.
    [[nodiscard]] std::string toString() const;

private:
    std::optional<std::set<RegionName>> m_allowed;
};

// Returns the regions that a declaration lists and that no data centre belongs to, in alphabetical order.
std::set<RegionName> unknownRegions(const Configuration& configuration, const RegionTable& regions);

} // namespace tarragonhaven
