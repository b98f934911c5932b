#pragma once

#include "tarragonhaven/exchange.h"
#include "tarragonhaven/names.h"
#include "util/time.h"

#include <string>

namespace tarragonhaven {

// The properties of a request that decide on its admission.
struct AdmissionRequest {
    std::string requestId;
    // Empty on a route that is open to all; no limit applies then.
    OrganisationName organisation;
    // The idempotency key that the caller sent, or empty.
    std::string idempotencyKey;
    // A digest of method and path, so that one key cannot serve two different requests.
    std::string requestFingerprint;
    util::Time deadline {};
};

// The outcome of a request that was admitted with an idempotency key.
enum class IdempotencyOutcome {
    // A target answered. A repetition of the request is refused as completed.
    Completed,
    // The request certainly did not run. The key may be used again.
    NotRun,
    // The request may have run. The key stays in use.
    Unknown,
};

// Decides whether requests may run: enforces the rate and burst of organisations over the whole fleet, and
// checks that no earlier request with the same idempotency key may have run. Used on the traffic thread;
// handlers run there.
class Admission {
public:
    virtual ~Admission() = default;
    // Checks the limit of the organisation and counts the request, then checks the idempotency key if keys
    // are supported. A refusal states whether the request may have run.
    virtual void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) = 0;
    // Records the outcome of a request that admit() let run.
    virtual void recordOutcome(const AdmissionRequest& request, IdempotencyOutcome outcome, int status) = 0;
    // Returns a new idempotency key for a caller of the organisation, or an empty string if keys are not
    // supported.
    virtual std::string issueIdempotencyKey(const OrganisationName& organisation) = 0;
};

} // namespace tarragonhaven
