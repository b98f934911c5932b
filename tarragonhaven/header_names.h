#pragma once

#include <compare>
#include <string>
#include <vector>

namespace tarragonhaven {

// The header fields in which nodes speak with callers and targets. A field without a name is not used. The
// default is what a fleet speaks that is run from a declaration of its own; an adapter fills in other names.
struct HeaderNames {
    // Holds the id of a request, set by its caller, sent on, and repeated in the target's answer.
    std::string requestId;
    // Holds the milliseconds that the caller waits, and that are left to the target.
    std::string deadline;
    // Set by nodes, whatever the caller sent: the target that is meant, the organisation of the key, and the
    // service beside which the request began.
    std::string expectedTarget;
    std::string organisation;
    std::string callerService;
    // In an answer: the target did not run the request.
    std::string notRun;
    // In an answer: proof that it is the target's own.
    std::string signature;
    // The scheme of the Authorization field that carries a key.
    std::string keyScheme = "Bearer";
    // Whether a refusal that says "not run" has a status that promises so (503 rather than 502), and whether
    // the time in Retry-After may have a fraction.
    bool strictRefusals = false;

    friend auto operator<=>(const HeaderNames&, const HeaderNames&) = default;
    friend bool operator==(const HeaderNames&, const HeaderNames&) = default;
};

} // namespace tarragonhaven
