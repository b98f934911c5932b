#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <string>

namespace tarragonhaven {

// The rank of requests that targets make while they run others: before every declared priority.
inline constexpr int internalRequestRank = -1;

// What a node knows of a request besides its head.
struct RequestContext {
    std::string requestId;
    // The organisation of the caller; empty on a route that is open to all and called without a key.
    OrganisationName organisation;
    ServiceName service;
    bool idempotent = false;
    // The entry that asked, at a guard that is another node.
    InstanceName entry;
    util::Time deadline {};
    // Whether the deadline bounds the whole answer; else it bounds the head only.
    bool deadlineCoversBody = false;
    // The service of the instance where the request began.
    ServiceName callerService;
    // The order in which requests get a slot; the lowest goes first.
    int rank = 0;
    // Whether the request may wait for a slot; else a guard without a free one refuses it at once.
    bool mayQueue = true;
    // The latest time at which an answer is still worth waiting for in a queue; zero for the deadline.
    util::Time queueDeadline {};
    // Whether the request is to be tried though the guard would hold it back, since nobody else takes it.
    bool bypassesBreaker = false;
};

} // namespace tarragonhaven
