#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/names.h"

#include <compare>

namespace tarragonhaven {

// One target of a service: where it listens, which instance guards it and how many requests it takes at once.
struct Target {
    TargetName name;
    InstanceName instance;
    Endpoint address;
    int slots = 1;

    friend auto operator<=>(const Target&, const Target&) = default;
    friend bool operator==(const Target&, const Target&) = default;
};

} // namespace tarragonhaven
