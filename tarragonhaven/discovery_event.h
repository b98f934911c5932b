#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/directory.h"

#include <variant>

namespace tarragonhaven {

// Events that the discovery thread sends to the traffic thread.

// A newer configuration has come into force.
struct DeclarationsAccepted {
    ConfigurationPointer configuration;
};

// The targets or their states have changed.
struct DirectoryChanged {
    DirectoryPointer directory;
};

using DiscoveryEvent = std::variant<std::monostate, DeclarationsAccepted, DirectoryChanged>;

} // namespace tarragonhaven
