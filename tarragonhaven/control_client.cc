// The number of a request identifies it in the token cache (as waiter) and at the key issuer (as attempt).
// Numbers start at the node's incarnation, a time in nanoseconds, so that attempts of different nodes and of
// different incarnations of one node have different numbers.

#include "tarragonhaven/control_client.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration recorderRetryAfter = std::chrono::seconds(1);

    Refusal refusalOf(const IdempotencyReply& answer)
    {
        if (!answer.issuerReachable)
            return { RefusalReason::RecorderUnreachable, RunState::NotRun, recorderRetryAfter, "" };
        switch (answer.recorded.verdict) {
        case IdempotencyVerdict::InUse:
            return { RefusalReason::IdempotencyKeyInUse, RunState::Unknown, {}, "" };
        case IdempotencyVerdict::Completed:
            return { RefusalReason::IdempotencyKeyCompleted, RunState::Ran, {},
                "an earlier request with this key was answered with status "
                    + std::to_string(answer.recorded.status) };
        case IdempotencyVerdict::Expired:
            return { RefusalReason::IdempotencyKeyExpired, RunState::Unknown, {}, "" };
        case IdempotencyVerdict::IssuerLost:
            return { RefusalReason::IdempotencyKeyUnknown, RunState::Unknown, {},
                "the record of this key is lost: the node that issued it has restarted or left the fleet" };
        case IdempotencyVerdict::NotIssued:
        case IdempotencyVerdict::Run:
            break;
        }
        return { RefusalReason::IdempotencyKeyMalformed, RunState::NotRun, {},
            "the key was not issued for this organisation and request" };
    }

} // namespace

ControlClient::ControlClient(boost::asio::io_context& io, util::BoundedRing<ControlRequest>& requests,
    IdempotencyKeyIssuer issuer, std::uint64_t incarnation)
    : m_io(io)
    , m_requests(requests)
    , m_issuer(std::move(issuer))
    , m_tokenCache(TokenCacheOptions {})
    , m_lastNumber(incarnation)
{
}

std::string ControlClient::issueIdempotencyKey(const OrganisationName& organisation)
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
    m_tokenCache.acquire(request.organisation, number, util::BootClock::now());
    flushTokenCache();
}

void ControlClient::flushTokenCache()
{
    for (auto& tokenRequest : m_tokenCache.takeRequests())
        m_requests.push(FetchTokensRequest { tokenRequest.dataCentre, std::move(tokenRequest.request) });
    for (auto& item : m_tokenCache.takeReturns())
        m_requests.push(ReturnTokensRequest { item.dataCentre, std::move(item.tokenReturn) });
    for (const auto& verdict : m_tokenCache.takeDecisions()) {
        const auto number = verdict.waiter;
        if (!verdict.admitted) {
            boost::asio::post(
                m_io, [this, number, refusal = verdict.refusal] { finish(number, tl::unexpected(refusal)); });
            continue;
        }
        boost::asio::post(m_io, [this, number] { checkIdempotency(number); });
    }
}

void ControlClient::checkIdempotency(std::uint64_t number)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return;
    const auto& request = found->second.request;
    if (request.idempotencyKey.empty())
        return finish(number, {});
    const bool sent = m_requests.push(IdempotencyBeginRequest {
        number, request.idempotencyKey, request.organisation, request.requestFingerprint });
    if (!sent)
        finish(number, tl::unexpected(refusalOf({ number, false, {} })));
}

void ControlClient::handleIdempotencyReply(const IdempotencyReply& answer)
{
    const auto found = m_pending.find(answer.attempt);
    if (found == m_pending.end())
        return;
    const bool mayRun = answer.issuerReachable && answer.recorded.verdict == IdempotencyVerdict::Run;
    if (!mayRun)
        return finish(answer.attempt, tl::unexpected(refusalOf(answer)));
    m_runningAttempts[found->second.request.requestId] = answer.attempt;
    finish(answer.attempt, {});
}

void ControlClient::finish(std::uint64_t number, const Outcome<void>& outcome)
{
    auto pending = m_pending.extract(number);
    if (!pending.empty())
        pending.mapped().handler(outcome);
}

void ControlClient::recordOutcome(const AdmissionRequest& request, IdempotencyOutcome outcome, int status)
{
    const auto runningAttempt = m_runningAttempts.extract(request.requestId);
    if (runningAttempt.empty())
        return;
    m_requests.push(
        IdempotencyEndRequest { runningAttempt.mapped(), request.idempotencyKey, outcome, status });
}

void ControlClient::handle(const ControlReply& reply)
{
    if (const auto* answer = std::get_if<TokenGrantReply>(&reply)) {
        m_tokenCache.onGrant(answer->organisation, answer->grant, util::BootClock::now());
        flushTokenCache();
    }
    if (const auto* answer = std::get_if<IdempotencyReply>(&reply))
        handleIdempotencyReply(*answer);
    if (const auto* view = std::get_if<FleetView>(&reply))
        m_tokenCache.setDataCentres(view->dataCentreOrder);
}

void ControlClient::tick()
{
    m_tokenCache.tick(util::BootClock::now());
    flushTokenCache();
}

} // namespace tarragonhaven
