// A request's number serves as its waiter in the wallet and as its attempt at the issuer. Numbers begin at
// the node's incarnation, a time in nanoseconds, so that attempts of different nodes and lives do not meet.

#include "tarragonhaven/control_client.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration recorderRetryAfter = std::chrono::seconds(1);

    Refusal refusalOf(const IdentityAnswer& answer)
    {
        if (!answer.reachable)
            return { RefusalReason::RecorderUnreachable, RunState::NotRun, recorderRetryAfter, "" };
        switch (answer.recorded.verdict) {
        case IdentityVerdict::InUse:
            return { RefusalReason::IdempotencyKeyInUse, RunState::Unknown, {}, "" };
        case IdentityVerdict::Completed:
            return { RefusalReason::IdempotencyKeyCompleted, RunState::Ran, {},
                "answered before with status " + std::to_string(answer.recorded.status) };
        case IdentityVerdict::Expired:
            return { RefusalReason::IdempotencyKeyExpired, RunState::Unknown, {}, "" };
        case IdentityVerdict::IssuerLost:
            return { RefusalReason::IdempotencyKeyUnknown, RunState::Unknown, {},
                "the issuer's record is lost" };
        case IdentityVerdict::NotIssued:
        case IdentityVerdict::Run:
            break;
        }
        return { RefusalReason::IdempotencyKeyMalformed, RunState::NotRun, {},
            "not issued for this request" };
    }

} // namespace

ControlClient::ControlClient(boost::asio::io_context& io, util::BoundedRing<ControlRequest>& requests,
    IdentityIssuer issuer, std::uint64_t incarnation)
    : m_io(io)
    , m_requests(requests)
    , m_issuer(std::move(issuer))
    , m_wallet(WalletOptions {})
    , m_lastNumber(incarnation)
{
}

std::string ControlClient::issueIdentity(const OrganisationName& organisation)
{
    return m_issuer.issue(organisation, util::BootClock::now());
}

void ControlClient::admit(const AdmissionRequest& request, OutcomeHandler<void> handler)
{
    const auto number = ++m_lastNumber;
    m_pending.emplace(number, Pending { request, std::move(handler) });
    if (request.organisation.text.empty()) {
        boost::asio::post(m_io, [this, number] { finish(number, {}); });
        return;
    }
    m_wallet.enter(request.organisation, number, util::BootClock::now());
    flushWallet();
}

void ControlClient::flushWallet()
{
    for (auto& ask : m_wallet.takeAsks())
        m_requests.push(RateAskRequest { ask.dataCentre, std::move(ask.ask) });
    for (auto& item : m_wallet.takeReturns())
        m_requests.push(RateReturnRequest { item.dataCentre, std::move(item.settled) });
    for (const auto& verdict : m_wallet.takeVerdicts()) {
        const auto number = verdict.waiter;
        if (!verdict.admitted) {
            boost::asio::post(
                m_io, [this, number, refusal = verdict.refusal] { finish(number, tl::unexpected(refusal)); });
            continue;
        }
        boost::asio::post(m_io, [this, number] { beginIdentity(number); });
    }
}

void ControlClient::beginIdentity(std::uint64_t number)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return;
    const auto& request = found->second.request;
    if (request.identity.empty())
        return finish(number, {});
    const bool sent = m_requests.push(
        IdentityBeginRequest { number, request.identity, request.organisation, request.purpose });
    if (!sent)
        finish(number, tl::unexpected(refusalOf({ number, false, {} })));
}

void ControlClient::handleIdentity(const IdentityAnswer& answer)
{
    const auto found = m_pending.find(answer.attempt);
    if (found == m_pending.end())
        return;
    const bool runs = answer.reachable && answer.recorded.verdict == IdentityVerdict::Run;
    if (!runs)
        return finish(answer.attempt, tl::unexpected(refusalOf(answer)));
    m_running[found->second.request.requestId] = answer.attempt;
    finish(answer.attempt, {});
}

void ControlClient::finish(std::uint64_t number, const Outcome<void>& outcome)
{
    auto pending = m_pending.extract(number);
    if (!pending.empty())
        pending.mapped().handler(outcome);
}

void ControlClient::settle(const AdmissionRequest& request, IdentityOutcome outcome, int status)
{
    const auto running = m_running.extract(request.requestId);
    if (running.empty())
        return;
    m_requests.push(IdentityEndRequest { running.mapped(), request.identity, outcome, status });
}

void ControlClient::handle(const ControlReply& reply)
{
    if (const auto* answer = std::get_if<RateAnswer>(&reply)) {
        m_wallet.noteGrant(answer->organisation, answer->grant, util::BootClock::now());
        flushWallet();
    }
    if (const auto* answer = std::get_if<IdentityAnswer>(&reply))
        handleIdentity(*answer);
    if (const auto* view = std::get_if<FleetView>(&reply))
        m_wallet.setDataCentres(view->dataCentreOrder);
}

void ControlClient::tick()
{
    m_wallet.tick(util::BootClock::now());
    flushWallet();
}

} // namespace tarragonhaven
