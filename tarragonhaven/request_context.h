#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/request_fingerprint.h"
#include "util/time.h"

#include <optional>
#include <string>

namespace tarragonhaven {

// The rank of requests that targets send while they run other requests. It comes before all declared
// priorities, which start at 0.
inline constexpr int internalRequestRank = -1;

// The properties of a request other than its head, as determined by the entry node.
struct RequestContext {
    std::string requestId;
    // The caller's organisation. Empty if a route that is open to all is called without a key.
    OrganisationName organisation;
    ServiceName service;
    bool idempotent = false;
    // The entry node that sent the request, if the guard is another node.
    InstanceName entry;
    util::Time deadline {};
    // Whether the deadline applies to the whole response. Otherwise it applies to its head only.
    bool deadlineCoversBody = false;
    // The service of the instance where the request began.
    ServiceName callerService;
    // Requests with the lowest rank get slots first.
    int rank = 0;
    // Whether the request may queue for a slot. Otherwise a guard without a free slot refuses it at once.
    bool mayQueue = true;
    // The time until which the request may queue for a slot. Zero means until the deadline.
    util::Time queueDeadline {};
    // Whether the request is sent to the target even if the guard's breaker would hold it back. Set when all
    // other targets refused the request.
    bool bypassesBreaker = false;
    // Recognises the request if it is sent again.
    RequestFingerprint fingerprint;
    // Whether an earlier attempt of the request has reached a target, or may reach one at the same time.
    bool repeat = false;
    // The limit of the target in requests per second, as the entry node learned it, if it knows one. A guard
    // that has just started uses it until its target responds.
    std::optional<double> knownTargetLimit;
};

} // namespace tarragonhaven
