#pragma once

#include "tarragonhaven/configuration.h"
#include "util/time.h"

#include <set>
#include <variant>

namespace tarragonhaven {

// What the configuration thread tells the others.

// A newer configuration is in force.
struct ConfigurationAccepted {
    ConfigurationPointer configuration;
};

// The instances that the platform's list names as leaving.
struct LeavingInstancesChanged {
    std::set<InstanceName> instances;
};

// The platform answered with a revision no newer than the one in force.
struct RevisionConfirmed {
    util::Time at {};
};

using ConfigurationEvent
    = std::variant<std::monostate, ConfigurationAccepted, LeavingInstancesChanged, RevisionConfirmed>;

// What the control thread tells the configuration thread: the revision that a peer holds.
struct PeerRevision {
    Endpoint peerAddress;
    InstanceName peer;
    Revision revision = 0;
};

} // namespace tarragonhaven
