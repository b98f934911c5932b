#pragma once

#include "tarragonhaven/exchange.h"
#include "tarragonhaven/names.h"
#include "util/time.h"

#include <string>

namespace tarragonhaven {

// What a request asks for before it may go to a target.
struct AdmissionRequest {
    std::string requestId;
    // Empty on a route that is open to all; then no limit applies.
    OrganisationName organisation;
    // The idempotency key that the caller sent, or empty.
    std::string idempotencyKey;
    // A digest of method and path, so that one key cannot serve two kinds of request.
    std::string requestFingerprint;
    util::Time deadline {};
};

// What came of a request that was admitted with an identity.
enum class IdempotencyOutcome {
    // A target answered; a repetition is told so.
    Completed,
    // It certainly did not run; the key may be used again.
    NotRun,
    // It may have run.
    Unknown,
};

// Decides whether requests may run: the organisation's rate and burst over the whole fleet, and whether the
// identity of a request is new. Used on the traffic thread; handlers run there.
class Admission {
public:
    virtual ~Admission() = default;
    // Takes a token of the organisation's rate, then checks the identity. A refusal says what is known of the
    // run.
    virtual void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) = 0;
    // Tells what became of a request that admit() let run.
    virtual void recordOutcome(const AdmissionRequest& request, IdempotencyOutcome outcome, int status) = 0;
    // A fresh key for a caller of the organisation.
    virtual std::string issueIdempotencyKey(const OrganisationName& organisation) = 0;
};

} // namespace tarragonhaven
