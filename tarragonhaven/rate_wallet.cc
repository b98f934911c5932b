// One ask at a time and organisation, to one data centre. While it is under way further requests wait and go
// into the next ask together, so the number of asks is bounded by the round trips, not by the requests.
// Tokens are used before their time ends as counted from the sending of the ask, so a late answer hands out
// nothing.

#include "tarragonhaven/rate_wallet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration demandWindow = std::chrono::seconds(1);
    // Spare tokens are given back this long before their time ends.
    constexpr util::Duration returnAhead = std::chrono::milliseconds(100);
    constexpr util::Duration idleAfter = std::chrono::seconds(10);
    // Below this demand every request asks for itself.
    constexpr double fewestPerSecondForSpare = 5;
    constexpr util::Duration defaultRetryAfter = std::chrono::seconds(1);

} // namespace

RateWallet::RateWallet(WalletOptions options)
    : m_options(std::move(options))
{
}

void RateWallet::setDataCentres(std::vector<int> dataCentres)
{
    m_options.dataCentres = std::move(dataCentres);
}

void RateWallet::noteDemand(Account& account, util::Time now)
{
    const double passed = util::toSeconds(now - account.lastDemand) / util::toSeconds(demandWindow);
    account.demandPerSecond = account.demandPerSecond * std::exp(-passed) + 1 / util::toSeconds(demandWindow);
    account.lastDemand = now;
}

void RateWallet::enter(const OrganisationName& organisation, std::uint64_t waiter, util::Time now)
{
    auto& account = m_accounts[organisation];
    noteDemand(account, now);
    account.waiting.push_back(waiter);
    serveFromLots(organisation, account, now);
    plan(organisation, account, now);
}

void RateWallet::leave(const OrganisationName& organisation, std::uint64_t waiter)
{
    const auto found = m_accounts.find(organisation);
    if (found != m_accounts.end())
        std::erase(found->second.waiting, waiter);
}

void RateWallet::admitFirst(Account& account)
{
    m_verdicts.push_back({ account.waiting.front(), true, {} });
    account.waiting.pop_front();
}

void RateWallet::serveFromLots(const OrganisationName& organisation, Account& account, util::Time now)
{
    endLots(organisation, account, now);
    while (!account.waiting.empty() && !account.lots.empty()) {
        auto& lot = account.lots.front();
        admitFirst(account);
        if (--lot.count > 0)
            continue;
        m_returns.push_back({ lot.dataCentre, { organisation.text, lot.grantId, 0 } });
        account.lots.pop_front();
    }
}

// Gives back what will not be used, and drops what may no longer be used.
void RateWallet::endLots(const OrganisationName& organisation, Account& account, util::Time now)
{
    std::erase_if(account.lots, [&](const Lot& lot) {
        if (now + returnAhead < lot.until)
            return false;
        if (now < lot.until)
            m_returns.push_back({ lot.dataCentre, { organisation.text, lot.grantId, lot.count } });
        return true;
    });
}

void RateWallet::plan(const OrganisationName& organisation, Account& account, util::Time now)
{
    if (account.waiting.empty() || !account.asks.empty())
        return;
    for (const int dataCentre : m_options.dataCentres) {
        const auto empty = account.emptyUntil.find(dataCentre);
        const auto unreachable = account.unreachableUntil.find(dataCentre);
        const bool isEmpty = empty != account.emptyUntil.end() && now < empty->second;
        const bool isUnreachable = unreachable != account.unreachableUntil.end() && now < unreachable->second;
        if (isEmpty || isUnreachable)
            continue;
        return ask(organisation, account, dataCentre, now);
    }
    refuseWaiting(account, now);
}

void RateWallet::ask(const OrganisationName& organisation, Account& account, int dataCentre, util::Time now)
{
    const double expected = account.demandPerSecond * util::toSeconds(m_options.forecast);
    const bool wantsSpare = account.demandPerSecond >= fewestPerSecondForSpare;
    WalletAsk planned;
    planned.dataCentre = dataCentre;
    planned.ask.requestId = ++m_lastAsk;
    planned.ask.organisation = organisation.text;
    planned.ask.waiting = static_cast<int>(account.waiting.size());
    planned.ask.prefetch = wantsSpare ? static_cast<int>(std::ceil(expected)) : 0;
    account.asks.push_back({ planned.ask.requestId, dataCentre, now });
    m_asks.push_back(std::move(planned));
}

// Refuses all that wait when no owner has a token within the short wait.
void RateWallet::refuseWaiting(Account& account, util::Time now)
{
    bool anyEmpty = false;
    util::Duration soonest = defaultRetryAfter;
    for (const auto& [dataCentre, until] : account.emptyUntil) {
        if (now >= until)
            continue;
        soonest = anyEmpty ? std::min<util::Duration>(soonest, until - now) : until - now;
        anyEmpty = true;
    }
    if (anyEmpty && soonest <= m_options.shortWait)
        return;
    const auto reason = anyEmpty ? RefusalReason::RateExceeded : RefusalReason::LimitUnavailable;
    while (!account.waiting.empty()) {
        m_verdicts.push_back(
            { account.waiting.front(), false, Refusal { reason, RunState::NotRun, soonest, "" } });
        account.waiting.pop_front();
    }
}

void RateWallet::dropAsk(Account& account, std::uint64_t askId)
{
    std::erase_if(account.asks, [askId](const PendingAsk& pending) { return pending.askId == askId; });
}

void RateWallet::noteGrant(const OrganisationName& organisation, const TokenGrant& grant, util::Time now)
{
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return;
    auto& account = found->second;
    const auto pending = std::find_if(account.asks.begin(), account.asks.end(),
        [&grant](const PendingAsk& item) { return item.askId == grant.requestId; });
    if (pending == account.asks.end())
        return;
    const auto sentAt = pending->sentAt;
    const int dataCentre = pending->dataCentre;
    dropAsk(account, grant.requestId);
    if (!grant.owner) {
        account.unreachableUntil[dataCentre] = now + m_options.unreachablePause;
        return plan(organisation, account, now);
    }
    account.unreachableUntil.erase(dataCentre);
    int immediate = now < sentAt + m_options.lifetimes.immediate ? grant.immediate : 0;
    for (; immediate > 0 && !account.waiting.empty(); --immediate)
        admitFirst(account);
    if (grant.prefetched > 0 && now < sentAt + m_options.lifetimes.spare)
        account.lots.push_back(
            { dataCentre, grant.grantId, grant.prefetched, sentAt + m_options.lifetimes.spare });
    if (grant.nextTokenUs > 0)
        account.emptyUntil[dataCentre] = now + std::chrono::microseconds(grant.nextTokenUs);
    serveFromLots(organisation, account, now);
    plan(organisation, account, now);
}

void RateWallet::expireAsks(Account& account, util::Time now)
{
    for (const auto& pending : account.asks) {
        if (now - pending.sentAt >= m_options.askTimeout)
            account.unreachableUntil[pending.dataCentre] = now + m_options.unreachablePause;
    }
    std::erase_if(account.asks,
        [&](const PendingAsk& pending) { return now - pending.sentAt >= m_options.askTimeout; });
}

bool RateWallet::idle(const Account& account, util::Time now) const
{
    return account.lots.empty() && account.waiting.empty() && account.asks.empty()
        && now - account.lastDemand > idleAfter;
}

void RateWallet::tick(util::Time now)
{
    for (auto item = m_accounts.begin(); item != m_accounts.end();) {
        auto& [organisation, account] = *item;
        expireAsks(account, now);
        serveFromLots(organisation, account, now);
        plan(organisation, account, now);
        item = idle(account, now) ? m_accounts.erase(item) : std::next(item);
    }
}

std::vector<WalletAsk> RateWallet::takeAsks() { return std::exchange(m_asks, {}); }

std::vector<WalletReturn> RateWallet::takeReturns() { return std::exchange(m_returns, {}); }

std::vector<WalletVerdict> RateWallet::takeVerdicts() { return std::exchange(m_verdicts, {}); }

} // namespace tarragonhaven
