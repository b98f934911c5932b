#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/names.h"

#include <compare>

namespace tarragonhaven {

// An instance of the fleet as declared in the configuration. A machine that replaces an instance takes over
// its name and addresses.
struct Instance {
    InstanceName name;
    DataCentreName dataCentre;
    // The address at which the node accepts connections from callers.
    Endpoint callerAddress;
    // The address at which the node accepts links (TCP) and control datagrams (UDP) from other nodes.
    Endpoint peerAddress;

    friend auto operator<=>(const Instance&, const Instance&) = default;
    friend bool operator==(const Instance&, const Instance&) = default;
};

} // namespace tarragonhaven
