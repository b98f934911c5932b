#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/names.h"

#include <compare>

namespace tarragonhaven {

// An instance of the fleet as the configuration declares it. A replacement takes over name and addresses.
struct Instance {
    InstanceName name;
    DataCentreName dataCentre;
    // Where callers connect.
    Endpoint callerAddress;
    // Where other nodes connect (TCP) and send control datagrams (UDP).
    Endpoint peerAddress;

    friend auto operator<=>(const Instance&, const Instance&) = default;
    friend bool operator==(const Instance&, const Instance&) = default;
};

} // namespace tarragonhaven
