#pragma once

#include "tarragonhaven/names.h"

#include <compare>
#include <string>
#include <vector>

namespace tarragonhaven {

// The instances of one data centre among which the ownership of organisations is spread, and whose majority
// an owner needs. `formerMembers` lists the member sets of the latest changes, newest first: an owner needs a
// majority of each of them as well, so that a part of the fleet that missed a change cannot own beside it.
struct OwnershipGroup {
    std::string name;
    DataCentreName dataCentre;
    std::vector<InstanceName> members;
    std::vector<std::vector<InstanceName>> formerMembers;

    friend auto operator<=>(const OwnershipGroup&, const OwnershipGroup&) = default;
    friend bool operator==(const OwnershipGroup&, const OwnershipGroup&) = default;
};

} // namespace tarragonhaven
