#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>

namespace tarragonhaven {

// One target of a service: where it listens, which instance guards it and how many requests it takes at once.
struct Target {
    TargetName name;
    InstanceName instance;
    Endpoint address;
    int slots = 1;
    DataCentreName dataCentre;
    // When this start of the target began, in milliseconds since 1970; a later start under the same name has
    // a higher number. 0 for a declared target.
    std::int64_t startTimeMs = 0;
    // The target gets no new work, since it is about to end.
    bool leaving = false;
    // Until when the target is slow after its start.
    util::Time slowStartUntil {};

    friend auto operator<=>(const Target&, const Target&) = default;
    friend bool operator==(const Target&, const Target&) = default;
};

} // namespace tarragonhaven
