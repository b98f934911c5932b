#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/idempotency_key_issuer.h"
#include "tarragonhaven/token_cache.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace tarragonhaven {

// The traffic thread's interface to the control thread. Admits a request once the token cache has admitted it
// under the organisation's rate and, if it has an idempotency key, the issuer of the key has allowed it to
// run. Exchanges requests and replies with the control thread over rings. If the ring to the control thread
// is full, a request with an idempotency key is refused as recorder-unreachable.
//
// Not thread-safe: all methods are called on the traffic thread.
class ControlClient : public Admission {
public:
    ControlClient(boost::asio::io_context& io, util::BoundedRing<ControlRequest>& requests,
        IdempotencyKeyIssuer issuer, std::uint64_t incarnation);

    void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) override;
    void recordOutcome(const AdmissionRequest& request, IdempotencyOutcome outcome, int status) override;
    std::string issueIdempotencyKey(const OrganisationName& organisation) override;

    // Handles a reply of the control thread. From a FleetView this class only takes the order of the data
    // centres; the rest of the view is left to the caller.
    void handle(const ControlReply& reply);
    // Applies the timeouts of the token cache. Call this every few milliseconds.
    void tick();

private:
    // A request that waits for a token or for the issuer's verdict.
    struct PendingRequest {
        AdmissionRequest request;
        OutcomeHandler<void> handler;
    };

    void flushTokenCache();
    void finish(std::uint64_t requestNumber, const Outcome<void>& outcome);
    void checkIdempotency(std::uint64_t requestNumber);
    void handleIdempotencyReply(const IdempotencyReply& reply);

    boost::asio::io_context& m_io;
    util::BoundedRing<ControlRequest>& m_requests;
    IdempotencyKeyIssuer m_issuer;
    TokenCache m_tokenCache;
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    // The attempt numbers, by request id, of the requests with an idempotency key that were allowed to run
    // and whose outcome is not yet known.
    std::map<std::string, std::uint64_t> m_runningAttempts;
    std::uint64_t m_lastRequestNumber;
};

} // namespace tarragonhaven
