// The number of a request identifies it in the token cache (as waiter) and at the key issuer (as attempt).
// Numbers start at the node's incarnation, a time in nanoseconds, so that attempts of different nodes and of
// different incarnations of one node have different numbers.

#include "tarragonhaven/control_client.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // The delay given to callers while the issuer of their idempotency key cannot be reached.
    constexpr util::Duration recorderRetryAfter = std::chrono::seconds(1);

    Refusal refusalOf(const IdempotencyReply& reply)
    {
        if (!reply.issuerReachable)
            return { RefusalReason::RecorderUnreachable, RunState::NotRun, recorderRetryAfter, "" };
        switch (reply.recorded.verdict) {
        case IdempotencyVerdict::InUse:
            return { RefusalReason::IdempotencyKeyInUse, RunState::Unknown, {}, "" };
        case IdempotencyVerdict::Completed:
            return { RefusalReason::IdempotencyKeyCompleted, RunState::Ran, {},
                "an earlier request with this key was answered with status "
                    + std::to_string(reply.recorded.status) };
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
    , m_lastRequestNumber(incarnation)
{
}

std::string ControlClient::issueIdempotencyKey(const OrganisationName& organisation)
{
    return m_issuer.issue(organisation, util::BootClock::now());
}

void ControlClient::admit(const AdmissionRequest& request, OutcomeHandler<void> handler)
{
    const auto requestNumber = ++m_lastRequestNumber;
    m_pendingRequests.emplace(requestNumber, PendingRequest { request, std::move(handler) });
    if (request.organisation.text.empty()) {
        boost::asio::post(m_io, [this, requestNumber] { finish(requestNumber, {}); });
        return;
    }
    m_tokenCache.acquire(request.organisation, requestNumber, util::BootClock::now());
    flushTokenCache();
}

void ControlClient::flushTokenCache()
{
    for (auto& tokenRequest : m_tokenCache.takeTokenRequests())
        m_requests.push(FetchTokensRequest { tokenRequest.dataCentre, std::move(tokenRequest.tokenRequest) });
    for (auto& item : m_tokenCache.takeTokenReturns())
        m_requests.push(ReturnTokensRequest { item.dataCentre, std::move(item.tokenReturn) });
    for (const auto& decision : m_tokenCache.takeDecisions()) {
        const auto requestNumber = decision.waiter;
        if (!decision.admitted) {
            boost::asio::post(m_io, [this, requestNumber, refusal = decision.refusal] {
                finish(requestNumber, tl::unexpected(refusal));
            });
            continue;
        }
        boost::asio::post(m_io, [this, requestNumber] { checkIdempotency(requestNumber); });
    }
}

void ControlClient::checkIdempotency(std::uint64_t requestNumber)
{
    const auto found = m_pendingRequests.find(requestNumber);
    if (found == m_pendingRequests.end())
        return;
    const auto& request = found->second.request;
    if (request.idempotencyKey.empty())
        return finish(requestNumber, {});
    const bool sent = m_requests.push(IdempotencyBeginRequest {
        requestNumber, request.idempotencyKey, request.organisation, request.requestFingerprint });
    if (!sent)
        finish(requestNumber, tl::unexpected(refusalOf({ requestNumber, false, {} })));
}

void ControlClient::handleIdempotencyReply(const IdempotencyReply& reply)
{
    const auto found = m_pendingRequests.find(reply.attempt);
    if (found == m_pendingRequests.end())
        return;
    const bool mayRun = reply.issuerReachable && reply.recorded.verdict == IdempotencyVerdict::Run;
    if (!mayRun)
        return finish(reply.attempt, tl::unexpected(refusalOf(reply)));
    m_runningAttempts[found->second.request.requestId] = reply.attempt;
    finish(reply.attempt, {});
}

void ControlClient::finish(std::uint64_t requestNumber, const Outcome<void>& outcome)
{
    auto pending = m_pendingRequests.extract(requestNumber);
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
    if (const auto* grantReply = std::get_if<TokenGrantReply>(&reply)) {
        m_tokenCache.onGrant(grantReply->organisation, grantReply->grant, util::BootClock::now());
        flushTokenCache();
    }
    if (const auto* idempotencyReply = std::get_if<IdempotencyReply>(&reply))
        handleIdempotencyReply(*idempotencyReply);
    if (const auto* view = std::get_if<FleetView>(&reply))
        m_tokenCache.setDataCentres(view->dataCentreOrder);
}

void ControlClient::tick()
{
    m_tokenCache.tick(util::BootClock::now());
    flushTokenCache();
}

} // namespace tarragonhaven
