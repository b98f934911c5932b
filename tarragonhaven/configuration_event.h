#pragma once

#include "tarragonhaven/configuration.h"
#include "util/time.h"

#include <set>
#include <variant>

namespace tarragonhaven {

// Events that the configuration thread sends to the traffic and control threads.

// A newer configuration has come into force.
struct ConfigurationAccepted {
    ConfigurationPointer configuration;
};

// The set of instances that the platform lists as leaving has changed to `instances`.
struct LeavingInstancesChanged {
    std::set<InstanceName> instances;
};

// The platform confirmed at time `at` that no revision is newer than the one in force.
struct RevisionConfirmed {
    util::Time at {};
};

using ConfigurationEvent
    = std::variant<std::monostate, ConfigurationAccepted, LeavingInstancesChanged, RevisionConfirmed>;

// Sent by the control thread to the configuration thread: the peer holds `revision`.
struct PeerRevision {
    Endpoint peerAddress;
    InstanceName peer;
    Revision revision = 0;
};

} // namespace tarragonhaven
