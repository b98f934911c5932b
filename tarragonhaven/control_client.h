#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/control_exchange.h"
#include "tarragonhaven/idempotency_key_issuer.h"
#include "tarragonhaven/rate_wallet.h"
#include "util/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace tarragonhaven {

// The traffic thread's side of control: it admits requests by the tokens in its wallet and the verdicts of
// key issuers, and speaks with the control thread over rings.
class ControlClient : public Admission {
public:
    ControlClient(boost::asio::io_context& io, util::BoundedRing<ControlRequest>& requests,
        IdempotencyKeyIssuer issuer, std::uint64_t incarnation);

    void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) override;
    void settle(const AdmissionRequest& request, IdentityOutcome outcome, int status) override;
    std::string issueIdentity(const OrganisationName& organisation) override;

    // Takes in an answer of the control thread. A FleetView is for the caller of this class as well.
    void handle(const ControlReply& reply);
    // Moves on by time. Call it every few milliseconds.
    void tick();

private:
    // A request on its way through admission.
    struct Pending {
        AdmissionRequest request;
        OutcomeHandler<void> handler;
    };

    void flushTokenCache();
    void finish(std::uint64_t number, const Outcome<void>& outcome);
    void checkIdempotency(std::uint64_t number);
    void handleIdempotencyReply(const IdempotencyReply& answer);

    boost::asio::io_context& m_io;
    util::BoundedRing<ControlRequest>& m_requests;
    IdempotencyKeyIssuer m_issuer;
    RateWallet m_tokenCache;
    std::map<std::uint64_t, Pending> m_pending;
    // Attempts that were let run, by request id.
    std::map<std::string, std::uint64_t> m_runningAttempts;
    std::uint64_t m_lastNumber;
};

} // namespace tarragonhaven
