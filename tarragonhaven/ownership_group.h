#pragma once

#include "tarragonhaven/names.h"

#include <compare>
#include <string>
#include <vector>

namespace tarragonhaven {

// The instances of one data centre that the ownership of organisations is distributed among. An owner needs
// the support of a majority of `members`. `formerMembers` lists the member sets before the latest changes,
// newest first. An owner needs a majority of each of them as well, so that nodes that missed a change cannot
// act as owners at the same time as nodes that know of it.
struct OwnershipGroup {
    std::string name;
    DataCentreName dataCentre;
    std::vector<InstanceName> members;
    std::vector<std::vector<InstanceName>> formerMembers;

    friend auto operator<=>(const OwnershipGroup&, const OwnershipGroup&) = default;
    friend bool operator==(const OwnershipGroup&, const OwnershipGroup&) = default;
};

} // namespace tarragonhaven
