#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>

namespace tarragonhaven {

// One target of a service: the address on which it listens, the instance that guards it, and the number of
// requests that it accepts at once.
struct Target {
    TargetName name;
    InstanceName instance;
    Endpoint address;
    int slots = 1;
    DataCentreName dataCentre;
    // When the target was started, in milliseconds since 1970; a later start under the same name has a higher
    // value. 0 for a declared target.
    std::int64_t startTimeMs = 0;
    // The target gets no new requests, since it is about to stop.
    bool leaving = false;
    // The target gets no new requests, since its data centre is evacuated.
    bool evacuated = false;
    // End of the period in which the target is slow after its start.
    util::Time slowStartUntil {};

    // Returns whether the directory lets the target get new requests.
    [[nodiscard]] bool takesRequests() const { return !leaving && !evacuated; }

    friend auto operator<=>(const Target&, const Target&) = default;
    friend bool operator==(const Target&, const Target&) = default;
};

} // namespace tarragonhaven
