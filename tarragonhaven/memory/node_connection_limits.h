#pragma once

#include "tarragonhaven/memory/connection_limits.h"
#include "tarragonhaven/memory/connection_settings.h"

#include <cstddef>

namespace tarragonhaven {

// Limits on the connections that a node accepts. The totals of the ports together leave the reserve of
// descriptors, so that connections to one port can neither use up those of another nor those that the node
// needs for targets, links to other nodes and the store.
struct NodeConnectionLimits {
    ConnectionLimits callers;
    ConnectionLimits peers;
    ConnectionLimits operators;
};

// Divides the descriptors of a process. A total in the settings is reduced if the descriptors do not suffice.
NodeConnectionLimits connectionLimits(const ConnectionSettings& settings, std::size_t descriptors);

} // namespace tarragonhaven
