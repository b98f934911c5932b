#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <string>

namespace tarragonhaven {

// What a node knows of a request besides its head.
struct RequestContext {
    std::string requestId;
    // The organisation of the caller; empty on a route that is open to all and called without a key.
    OrganisationName organisation;
    ServiceName service;
    bool idempotent = false;
    // The entry that asked, at a guard that is another node.
    InstanceName entry;
    util::Time deadline {};
};

} // namespace tarragonhaven
