#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/directory.h"

#include <variant>

namespace tarragonhaven {

// What the discovery thread tells the traffic thread.

struct DeclarationsAccepted {
    ConfigurationPointer configuration;
};

struct DirectoryChanged {
    DirectoryPointer directory;
};

using DiscoveryEvent = std::variant<std::monostate, DeclarationsAccepted, DirectoryChanged>;

} // namespace tarragonhaven
