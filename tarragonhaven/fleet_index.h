#pragma once

#include "tarragonhaven/caller_limits.h"
#include "tarragonhaven/instance.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/ownership_group.h"
#include "tarragonhaven/route.h"
#include "tarragonhaven/service.h"

#include <compare>
#include <string>
#include <vector>

namespace tarragonhaven {

// The declarations of a fleet except its organisations, which are published separately in shards.
// `organisationShards` holds the names of the shards. The name of a shard ends in the SHA-256 of its content,
// so that an index is never combined with shards of another revision.
struct FleetIndex {
    std::string fleet;
    std::vector<DataCentreName> dataCentres;
    std::vector<Instance> instances;
    std::vector<OwnershipGroup> groups;
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<std::string> organisationShards;
    CallerLimits callerLimits;

    friend bool operator==(const FleetIndex&, const FleetIndex&) = default;
};

} // namespace tarragonhaven
