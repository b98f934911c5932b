#pragma once

#include "util/tagged.h"

#include <vector>

namespace tarragonhaven {

// The name of an instance: a machine of the fleet that runs one or more targets and one node beside them.
using InstanceName = util::Tagged<struct InstanceTag>;
// The name of a data centre: a zone of instances that share a site.
using DataCentreName = util::Tagged<struct DataCentreTag>;
// The name of a region: the data centres in which requests with the same restriction may run.
using RegionName = util::Tagged<struct RegionTag>;
// The name of an organisation: a customer whose callers share a rate limit, a burst and a set of keys.
using OrganisationName = util::Tagged<struct OrganisationTag>;
// The name of a service: a set of interchangeable targets.
using ServiceName = util::Tagged<struct ServiceTag>;
// The name of a target: one back end of a service.
using TargetName = util::Tagged<struct TargetTag>;
// The name of a route, which maps a method and a path pattern to a service.
using RouteName = util::Tagged<struct RouteTag>;

// A list of the regions that requests may be sent to.
using RegionList = std::vector<RegionName>;

} // namespace tarragonhaven
