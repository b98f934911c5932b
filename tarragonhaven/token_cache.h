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

// How an entry node obtains tokens for the requests of its callers.
struct TokenCacheOptions {
    // The data centres that hold shares, by index; the first is this node's own.
    std::vector<int> dataCentres;
    TokenLifetimes lifetimes;
    // How long a token request waits for its reply before the next data centre is tried.
    util::Duration tokenRequestTimeout = std::chrono::milliseconds(60);
    // How long a data centre is skipped that did not answer, or whose replying node does not own the share.
    util::Duration unreachableBackoff = std::chrono::milliseconds(500);
    // If an owner has announced that its next token comes within this time, requests wait for it instead of
    // being refused.
    util::Duration maximumTokenWait = std::chrono::milliseconds(40);
    // Prefetched tokens are requested for the demand expected in this time.
    util::Duration prefetchHorizon = std::chrono::milliseconds(150);
};

// A token request to send to the owner of an organisation in a data centre.
struct OutgoingTokenRequest {
    int dataCentre = 0;
    TokenRequest tokenRequest;

    friend bool operator==(const OutgoingTokenRequest&, const OutgoingTokenRequest&) = default;
};

// Prefetched tokens to return to the owner that granted them.
struct OutgoingTokenReturn {
    int dataCentre = 0;
    TokenReturn tokenReturn;

    friend bool operator==(const OutgoingTokenReturn&, const OutgoingTokenReturn&) = default;
};

// The decision on a waiting request.
struct TokenDecision {
    std::uint64_t waiter = 0;
    bool admitted = false;
    // Why the request was not admitted. The run state is always NotRun.
    Refusal refusal;

    friend bool operator==(const TokenDecision&, const TokenDecision&) = default;
};

// The prefetched tokens that this entry node holds, and the callers' requests that wait for a token. Token
// requests go to the owner in this node's own data centre first. While that owner has no token or does not
// answer, they go to the owners in the other data centres, which hold other shares of the same rate. A
// waiting request is refused when no share has a token soon: with RateExceeded if an owner has announced when
// its next token comes, otherwise with LimitUnavailable.
//
//   cache.acquire(organisation, waiter, now);
//   for (const auto& tokenRequest : cache.takeTokenRequests()) send(tokenRequest);
//   for (const auto& decision : cache.takeDecisions()) resume(decision);
//   ...
//   cache.onGrant(organisation, grant, now);
class TokenCache {
public:
    explicit TokenCache(TokenCacheOptions options);

    // Lets a caller's request wait for a token. `waiter` identifies it in the decision, which may be
    // available at once.
    void acquire(const OrganisationName& organisation, std::uint64_t waiter, util::Time now);
    // Removes a waiting request. If it was already admitted, its token counts as used.
    void cancel(const OrganisationName& organisation, std::uint64_t waiter);
    // Handles the reply to a token request.
    void onGrant(const OrganisationName& organisation, const TokenGrant& grant, util::Time now);
    // Expires unanswered token requests and cached tokens, and refuses waiting requests that will not get a
    // token soon. Call this every few milliseconds.
    void tick(util::Time now);
    // Applies the data centres of a new configuration.
    void setDataCentres(std::vector<int> dataCentres);

    std::vector<OutgoingTokenRequest> takeTokenRequests();
    std::vector<OutgoingTokenReturn> takeTokenReturns();
    std::vector<TokenDecision> takeDecisions();
    [[nodiscard]] std::size_t size() const { return m_organisations.size(); }

private:
    // Prefetched tokens of one grant.
    struct Batch {
        int dataCentre = 0;
        std::uint64_t grantId = 0;
        int count = 0;
        util::Time until {};
    };
    struct PendingTokenRequest {
        std::uint64_t requestId = 0;
        int dataCentre = 0;
        util::Time sentAt {};
    };
    struct OrganisationState {
        std::deque<Batch> batches;
        std::deque<std::uint64_t> waiting;
        std::vector<PendingTokenRequest> pendingTokenRequests;
        // Data centres whose owner has no token before the given time.
        std::map<int, util::Time> emptyUntil;
        std::map<int, util::Time> unreachableUntil;
        double demandPerSecond = 0;
        util::Time lastDemandAt {};
    };
    using Organisations = std::unordered_map<OrganisationName, OrganisationState>;

    void recordDemand(OrganisationState& state, util::Time now);
    void serveFromBatches(const OrganisationName& organisation, OrganisationState& state, util::Time now);
    void requestTokensOrRefuse(
        const OrganisationName& organisation, OrganisationState& state, util::Time now);
    void requestTokens(
        const OrganisationName& organisation, OrganisationState& state, int dataCentre, util::Time now);
    void refuseWaiting(OrganisationState& state, util::Time now);
    void removePendingTokenRequest(OrganisationState& state, std::uint64_t requestId);
    void expireBatches(const OrganisationName& organisation, OrganisationState& state, util::Time now);
    void expireTokenRequests(OrganisationState& state, util::Time now);
    void admitNext(OrganisationState& state);
    [[nodiscard]] bool isIdle(const OrganisationState& state, util::Time now) const;

    TokenCacheOptions m_options;
    Organisations m_organisations;
    std::uint64_t m_lastRequestId = 0;
    std::vector<OutgoingTokenRequest> m_tokenRequests;
    std::vector<OutgoingTokenReturn> m_tokenReturns;
    std::vector<TokenDecision> m_decisions;
};

} // namespace tarragonhaven
