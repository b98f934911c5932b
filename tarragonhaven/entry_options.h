#pragma once

#include "tarragonhaven/evacuation/region_table.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/spillover/spill_options.h"
#include "tarragonhaven/target_ejection.h"

#include <cstddef>

namespace tarragonhaven {

// Options for how an entry node handles requests. The defaults are for fleets that run from a declaration of
// their own, without a platform adapter.
struct EntryOptions {
    HeaderNames headerNames;
    // The service of the target on this node's instance. Requests that begin at this node are made on behalf
    // of that service.
    ServiceName callerService;
    // Responses up to this many bytes are buffered completely before their head is sent to the caller, so
    // that the request can be retried if the response breaks off. 0 streams every response.
    std::size_t bufferedResponseBytes = 0;
    // The number of first attempts in which a guard node without a free slot refuses the request at once
    // instead of queuing it.
    int nonQueuingAttempts = 0;
    // The load, in requests per slot, of the targets at one distance above which the targets at the next
    // distance are used as well.
    double spilloverLoad = 0.9;
    // The number of targets in other data centres that may refuse a request because they have no free slot
    // before it queues.
    int remoteNonQueuingAttempts = 0;
    // The factor by which the cost of queuing in another data centre is raised.
    double remoteCostFactor = 1;
    // The number of targets whose queues may be too long for a request before it is refused. 0 sets no limit.
    int maximumFullQueues = 0;
    // The queue timeout of a request, as a share of its route's objective. 0 lets it wait until its deadline.
    double queueTimeoutShareOfObjective = 0;
    // The time after which an idempotent request whose response has not begun is also sent to a second target
    // with a free slot, as a share of its route's objective. 0 sends none.
    double hedgeShareOfObjective = 0;
    // The share by which each second since a target's last success raises its cost for requests that cannot
    // be retried.
    double noSuccessPenalty = 0;
    // Whether an idempotent request that all other targets refused is sent to a target whose breaker holds
    // back requests.
    bool bypassBreakerAsLastResort = false;
    // Whether a target on this node's own instance is preferred to others in the same data centre.
    bool preferOwnInstance = false;
    // Whether a response that is being sent is aborted when its caller's key is revoked.
    bool abortResponsesOfRevokedKeys = true;
    // Whether the route's deadline applies to the whole response. Otherwise it applies to its head only.
    bool deadlineCoversBody = false;
    // Whether a stopping node still accepts new requests.
    bool serveWhileStopping = false;
    // Whether requests without a key on open routes get slots before all others. Targets send them while they
    // run other requests.
    bool prioritizeInternalRequests = false;
    EjectionOptions ejection;
    // The regions of data centres, for requests that may be sent to some regions only.
    RegionTable regions;
    SpillOptions spill;
};

} // namespace tarragonhaven
