#pragma once

#include "tarragonhaven/header_names.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/target_standing.h"

#include <cstddef>

namespace tarragonhaven {

// How an entry treats requests. The default is for fleets that are run from a declaration of their own.
struct EntryOptions {
    HeaderNames headerNames;
    // The service of the target beside this node, on whose behalf requests begin here.
    ServiceName callerService;
    // Answers up to this many bytes are read whole before the caller gets their head, so that one that breaks
    // off can be tried again; 0 to pass on every answer as it comes.
    std::size_t bufferedResponseBytes = 0;
    // Tries at which a request is refused rather than wait for a slot.
    int nonQueuingAttempts = 0;
    // Requests a slot at the targets of a nearer place at which those of the next are used as well.
    double spillLoad = 0.9;
    // How long a request may wait for a slot, as a share of its route's objective; 0 for its deadline.
    double queueTimeoutShareOfObjective = 0;
    // How much an unproven second adds to a target's cost for requests that cannot be tried again, as a
    // share.
    double unprovenWeight = 0;
    // Whether a request that may be repeated and that nobody takes is tried at a target that is held back.
    bool bypassBreakerAsLastResort = false;
    // Whether a target of this node's own instance goes before others of its data centre.
    bool preferOwnInstance = false;
    // Whether an answer under way ends when its caller's key is withdrawn.
    bool abortResponsesOfRevokedKeys = true;
    // Whether the time of a route bounds the whole answer; else it bounds the head.
    bool deadlineCoversBody = false;
    // Whether a node that stops serves the callers that still come.
    bool serveWhileStopping = false;
    // Whether requests without a key on open routes go first: targets make them while they run others.
    bool prioritizeInternalRequests = false;
    StandingOptions ejection;
};

} // namespace tarragonhaven
