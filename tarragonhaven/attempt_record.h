#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/refusal.h"
#include "tarragonhaven/request_fingerprint.h"
#include "tarragonhaven/target_notice.h"
#include "util/time.h"

#include <optional>
#include <string>

namespace tarragonhaven {

// Record of one attempt of a request at the guard of its target: the load that the guard saw on arrival, the
// duration of each stage, and the result.
struct AttemptRecord {
    std::string requestId;
    RequestFingerprint fingerprint;
    TargetName target;
    // The entry node that sent the request; empty if the guard is the entry node itself.
    InstanceName entry;
    bool idempotent = false;
    // Whether a target made the request while it ran another one.
    bool sentByTarget = false;
    // On arrival of the request: the target's slots, the slots in use, and the requests that waited for a
    // slot.
    int slots = 0;
    int slotsInUse = 0;
    int waiting = 0;
    // Time spent waiting for a slot, time spent connecting (none if an idle connection was reused), and time
    // from then to the first byte of the response.
    util::Duration queueTime {};
    std::optional<util::Duration> connectTime;
    std::optional<util::Duration> timeToFirstByte;
    // The status of the response, or the reason why there was none; neither is set if the entry node
    // cancelled the request.
    int status = 0;
    std::optional<Refusal> refusal;
    // What the target announced in its response, and the limit in requests per second that the guard knew
    // when the request arrived.
    TargetNotice notice;
    std::optional<double> knownLimit;
    // The pace in requests per second if the target was cold when the request arrived.
    std::optional<double> coldPace;
};

} // namespace tarragonhaven
