#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/refusal.h"
#include "util/time.h"

#include <optional>
#include <string>

namespace tarragonhaven {

// One try of a request at the guard of its target: what the guard saw when it came, how long each stage took
// and what came of it.
struct AttemptRecord {
    std::string requestId;
    TargetName target;
    // The node that sent it; empty when that is the guard itself.
    InstanceName entry;
    bool idempotent = false;
    bool sentByTarget = false;
    // The target's slots and the requests at it and before it when this one came.
    int slots = 0;
    int slotsInUse = 0;
    int waiting = 0;
    // How long it waited for a slot, for a connection (none when a kept one was used), and from then to the
    // first byte of the answer.
    util::Duration queueTime {};
    std::optional<util::Duration> connectTime;
    std::optional<util::Duration> timeToFirstByte;
    // The answer's status, or why there was none; neither when the entry gave the request up.
    int status = 0;
    std::optional<Refusal> refusal;
};

} // namespace tarragonhaven
