#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/refusal.h"
#include "tarragonhaven/token_bucket.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragonhaven {

// How an entry gets tokens for the requests of its callers.
struct TokenCacheOptions {
    // The data centres that hold shares, by index; the first is this node's own.
    std::vector<int> dataCentres;
    TokenLifetimes lifetimes;
    // How long an ask waits for its answer before the next data centre is asked.
    util::Duration requestTimeout = std::chrono::milliseconds(60);
    // How long a data centre that did not answer is left aside.
    util::Duration unreachableBackoff = std::chrono::milliseconds(500);
    // A request waits for a token that an owner announces within this time, rather than being refused.
    util::Duration maximumTokenWait = std::chrono::milliseconds(40);
    // Spare tokens are asked for the demand of this time.
    util::Duration prefetchHorizon = std::chrono::milliseconds(150);
};

// An ask to be sent to the owner of an organisation in a data centre.
struct OutgoingTokenRequest {
    int dataCentre = 0;
    TokenAsk request;

    friend bool operator==(const OutgoingTokenRequest&, const OutgoingTokenRequest&) = default;
};

// Spare tokens to be given back to the owner that granted them.
struct OutgoingTokenReturn {
    int dataCentre = 0;
    TokenReturn tokenReturn;

    friend bool operator==(const OutgoingTokenReturn&, const OutgoingTokenReturn&) = default;
};

// What became of a waiting request.
struct TokenDecision {
    std::uint64_t waiter = 0;
    bool admitted = false;
    // Why not, when it was not admitted; always "not run".
    Refusal refusal;

    friend bool operator==(const TokenDecision&, const TokenDecision&) = default;
};

// The tokens that this entry holds, and the requests that wait for some. It asks the owner in its own data
// centre first and, while that one has none or does not answer, the owners in the others, which hold other
// shares of the same rate. A request is refused when no share has a token soon.
//
//   wallet.enter(organisation, waiter, now);
//   for (const auto& ask : wallet.takeAsks()) send(ask);
//   for (const auto& verdict : wallet.takeVerdicts()) resume(verdict);
//   ...
//   wallet.noteGrant(dataCentre, organisation, grant, now);
class TokenCache {
public:
    explicit TokenCache(TokenCacheOptions options);

    // A request of the organisation wants to run. Its verdict may be there at once.
    void acquire(const OrganisationName& organisation, std::uint64_t waiter, util::Time now);
    // The request is gone; if it was admitted, its token is used all the same.
    void cancel(const OrganisationName& organisation, std::uint64_t waiter);
    // The answer to an ask.
    void onGrant(const OrganisationName& organisation, const TokenGrant& grant, util::Time now);
    // Moves on by time: asks that were not answered, tokens that end, refusals.
    void tick(util::Time now);
    // Takes over the data centres of a new configuration.
    void setDataCentres(std::vector<int> dataCentres);

    std::vector<OutgoingTokenRequest> takeRequests();
    std::vector<OutgoingTokenReturn> takeReturns();
    std::vector<TokenDecision> takeDecisions();
    [[nodiscard]] std::size_t size() const { return m_organisations.size(); }

private:
    // Spare tokens of one grant.
    struct Batch {
        int dataCentre = 0;
        std::uint64_t grantId = 0;
        int count = 0;
        util::Time until {};
    };
    struct PendingRequest {
        std::uint64_t requestId = 0;
        int dataCentre = 0;
        util::Time sentAt {};
    };
    struct OrganisationState {
        std::deque<Batch> batches;
        std::deque<std::uint64_t> waiting;
        std::vector<PendingRequest> pendingRequests;
        // Data centres whose owner has no token before the time given.
        std::map<int, util::Time> emptyUntil;
        std::map<int, util::Time> unreachableUntil;
        double demandPerSecond = 0;
        util::Time lastDemandAt {};
    };
    using Organisations = std::unordered_map<OrganisationName, OrganisationState>;

    void recordDemand(OrganisationState& state, util::Time now);
    void serveFromBatches(const OrganisationName& organisation, OrganisationState& state, util::Time now);
    void requestOrRefuse(const OrganisationName& organisation, OrganisationState& state, util::Time now);
    void requestTokens(
        const OrganisationName& organisation, OrganisationState& state, int dataCentre, util::Time now);
    void refuseWaiting(OrganisationState& state, util::Time now);
    void removePending(OrganisationState& state, std::uint64_t requestId);
    void expireBatches(const OrganisationName& organisation, OrganisationState& state, util::Time now);
    void expireRequests(OrganisationState& state, util::Time now);
    void admitNext(OrganisationState& state);
    [[nodiscard]] bool isIdle(const OrganisationState& state, util::Time now) const;

    TokenCacheOptions m_options;
    Organisations m_organisations;
    std::uint64_t m_lastRequestId = 0;
    std::vector<OutgoingTokenRequest> m_requests;
    std::vector<OutgoingTokenReturn> m_returns;
    std::vector<TokenDecision> m_decisions;
};

} // namespace tarragonhaven
