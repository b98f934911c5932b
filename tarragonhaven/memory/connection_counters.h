#pragma once

#include "tarragonhaven/memory/port_counters.h"

namespace tarragonhaven {

// Counters of the connections that a node accepts, by port.
struct ConnectionCounters {
    PortCounters callers;
    PortCounters peers;
    PortCounters operators;
};

} // namespace tarragonhaven
