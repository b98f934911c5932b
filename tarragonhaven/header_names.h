#pragma once

#include <compare>
#include <string>
#include <vector>

namespace tarragonhaven {

// The names of the header fields that nodes exchange with callers and targets. A field whose name is empty is
// not used. The defaults are for fleets that run from a declaration of their own; the adapter for a platform
// sets other names.
struct HeaderNames {
    // The request id. Set by the caller, forwarded to the target, and repeated in the target's response.
    std::string requestId;
    // The remaining time in milliseconds: in a caller's request, how long the caller waits; in a request to a
    // target, how much of that time is left.
    std::string deadline;
    // Set by nodes; values sent by callers are dropped. They hold the intended target, the organisation of
    // the key, and the service of the instance where the request began.
    std::string expectedTarget;
    std::string organisation;
    std::string callerService;
    // In a response: states that the target did not run the request.
    std::string notRun;
    // In a response: proves that the target itself wrote the response.
    std::string signature;
    // In a response: the requests per second that the target accepts from all nodes together, and a notice
    // that the target is about to stop.
    std::string requestLimit;
    std::string leavingNotice;
    // In a health response: the milliseconds for which the target remains cold.
    std::string coldRemaining;
    // The scheme of an Authorization field that contains a key.
    std::string keyScheme = "Bearer";
    // Whether the status of a refusal states if the request may have run (503 rather than 502 for "not-run"),
    // and whether the seconds in Retry-After may have a fraction.
    bool strictRefusals = false;

    friend auto operator<=>(const HeaderNames&, const HeaderNames&) = default;
    friend bool operator==(const HeaderNames&, const HeaderNames&) = default;
};

} // namespace tarragonhaven
