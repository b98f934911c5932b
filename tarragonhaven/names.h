#pragma once

#include "util/tagged.h"

namespace tarragonhaven {

// An instance: one machine of the fleet, with a target or several and one node beside them.
using InstanceName = util::Tagged<struct InstanceTag>;
// A data centre: instances that share a site.
using DataCentreName = util::Tagged<struct DataCentreTag>;
// An organisation: a customer whose callers share a rate, a burst and a set of keys.
using OrganisationName = util::Tagged<struct OrganisationTag>;
// A service: a set of interchangeable targets.
using ServiceName = util::Tagged<struct ServiceTag>;
// A target, as configured: one upstream of a service.
using TargetName = util::Tagged<struct TargetTag>;
// A route: a method and a path pattern that lead to a service.
using RouteName = util::Tagged<struct RouteTag>;

} // namespace tarragonhaven
