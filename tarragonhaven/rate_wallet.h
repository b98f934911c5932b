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
struct WalletOptions {
    // The data centres that hold shares, by index; the first is this node's own.
    std::vector<int> dataCentres;
    TokenLifetimes lifetimes;
    // How long an ask waits for its answer before the next data centre is asked.
    util::Duration askTimeout = std::chrono::milliseconds(60);
    // How long a data centre that did not answer is left aside.
    util::Duration unreachablePause = std::chrono::milliseconds(500);
    // A request waits for a token that an owner announces within this time, rather than being refused.
    util::Duration shortWait = std::chrono::milliseconds(40);
    // Spare tokens are asked for the demand of this time.
    util::Duration forecast = std::chrono::milliseconds(150);
};

// An ask to be sent to the owner of an organisation in a data centre.
struct WalletAsk {
    int dataCentre = 0;
    TokenRequest ask;

    friend bool operator==(const WalletAsk&, const WalletAsk&) = default;
};

// Spare tokens to be given back to the owner that granted them.
struct WalletReturn {
    int dataCentre = 0;
    TokenReturn settled;

    friend bool operator==(const WalletReturn&, const WalletReturn&) = default;
};

// What became of a waiting request.
struct WalletVerdict {
    std::uint64_t waiter = 0;
    bool admitted = false;
    // Why not, when it was not admitted; always "not run".
    Refusal refusal;

    friend bool operator==(const WalletVerdict&, const WalletVerdict&) = default;
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
class RateWallet {
public:
    explicit RateWallet(WalletOptions options);

    // A request of the organisation wants to run. Its verdict may be there at once.
    void enter(const OrganisationName& organisation, std::uint64_t waiter, util::Time now);
    // The request is gone; if it was admitted, its token is used all the same.
    void leave(const OrganisationName& organisation, std::uint64_t waiter);
    // The answer to an ask.
    void noteGrant(const OrganisationName& organisation, const TokenGrant& grant, util::Time now);
    // Moves on by time: asks that were not answered, tokens that end, refusals.
    void tick(util::Time now);
    // Takes over the data centres of a new configuration.
    void setDataCentres(std::vector<int> dataCentres);

    std::vector<WalletAsk> takeAsks();
    std::vector<WalletReturn> takeReturns();
    std::vector<WalletVerdict> takeVerdicts();
    [[nodiscard]] std::size_t size() const { return m_accounts.size(); }

private:
    // Spare tokens of one grant.
    struct Lot {
        int dataCentre = 0;
        std::uint64_t grantId = 0;
        int count = 0;
        util::Time until {};
    };
    struct PendingAsk {
        std::uint64_t askId = 0;
        int dataCentre = 0;
        util::Time sentAt {};
    };
    struct Account {
        std::deque<Lot> lots;
        std::deque<std::uint64_t> waiting;
        std::vector<PendingAsk> asks;
        // Data centres whose owner has no token before the time given.
        std::map<int, util::Time> emptyUntil;
        std::map<int, util::Time> unreachableUntil;
        double demandPerSecond = 0;
        util::Time lastDemand {};
    };
    using Accounts = std::unordered_map<OrganisationName, Account>;

    void noteDemand(Account& account, util::Time now);
    void serveFromLots(const OrganisationName& organisation, Account& account, util::Time now);
    void plan(const OrganisationName& organisation, Account& account, util::Time now);
    void ask(const OrganisationName& organisation, Account& account, int dataCentre, util::Time now);
    void refuseWaiting(Account& account, util::Time now);
    void dropAsk(Account& account, std::uint64_t askId);
    void endLots(const OrganisationName& organisation, Account& account, util::Time now);
    void expireAsks(Account& account, util::Time now);
    void admitFirst(Account& account);
    [[nodiscard]] bool idle(const Account& account, util::Time now) const;

    WalletOptions m_options;
    Accounts m_accounts;
    std::uint64_t m_lastAsk = 0;
    std::vector<WalletAsk> m_asks;
    std::vector<WalletReturn> m_returns;
    std::vector<WalletVerdict> m_verdicts;
};

} // namespace tarragonhaven
