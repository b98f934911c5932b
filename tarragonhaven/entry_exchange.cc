// Makes one attempt at a time, and at most one hedge besides. The next attempt replaces the previous one, so
// that anything which still arrives from the previous attempt is ignored. A hedge that responds first, or
// outlasts the attempt, takes its place.

#include "tarragonhaven/entry_exchange.h"

#include "tarragonhaven/attempt_outcome.h"
#include "util/check.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // How long a target is avoided when its guard is unreachable or stopping.
    constexpr util::Duration unreachableAvoidance = std::chrono::milliseconds(1500);
    // No retry is started with less time than this before the deadline, since it would not reach a target.
    constexpr util::Duration minimumAttemptTime = std::chrono::milliseconds(20);

} // namespace

EntryExchange::EntryExchange(Entry& entry, AcceptedRequest request, std::shared_ptr<BodyBudget> budget)
    : m_entry(entry)
    , m_budget(budget ? std::move(budget)
                      : std::shared_ptr<BodyBudget>(std::shared_ptr<void>(), &entry.bodyBudget()))
    , m_request(std::move(request))
    , m_planner(m_entry.dependencies().options, m_request.context.idempotent)
    , m_replayBody(*m_budget)
    , m_bufferedBody(*m_budget)
    , m_hedgeTimer(m_entry.dependencies().io)
    , m_started(util::BootClock::now())
{
}

EntryExchange::~EntryExchange() { cancel(); }

template <typename Call> void EntryExchange::withExchange(Attempt& attempt, Call call)
{
    if (const auto* local = std::get_if<std::shared_ptr<GuardExchange>>(&attempt))
        return call(**local);
    if (const auto* remote = std::get_if<std::shared_ptr<PeerExchange>>(&attempt))
        return call(**remote);
}

AdmissionRequest EntryExchange::admissionRequest() const
{
    const bool requiresIdempotencyKey = m_request.route.idempotencyKeyRule == IdempotencyKeyRule::Required;
    return { m_request.context.requestId, m_request.context.organisation,
        requiresIdempotencyKey ? m_request.idempotencyKey : std::string(),
        m_request.head.method + " " + m_request.head.target, m_request.context.deadline };
}

void EntryExchange::open(OutcomeHandler<void> handler)
{
    m_entry.dependencies().admission.admit(admissionRequest(),
        [self = shared_from_this(), handler = std::move(handler)](Outcome<void> admitted) {
            if (!admitted)
                return handler(tl::unexpected(admitted.error()));
            self->m_admitted = true;
            if (self->m_cancelled)
                return self->settleAdmission(IdempotencyOutcome::NotRun, 0);
            self->recordRequest();
            self->m_planner.setPlacement(self->m_entry.place(self->m_request));
            self->startAttempt(handler);
        });
}

void EntryExchange::recordRequest()
{
    const auto& context = m_request.context;
    if (context.rank == internalRequestRank && m_entry.dependencies().guard.takeNestedRepeat())
        m_entry.retries().recordNestedRepeat(context.service);
    else
        m_entry.retries().recordFirstAttempt(context.service);
}

TargetChoice EntryExchange::choose()
{
    auto& context = m_request.context;
    const auto attempt = m_planner.next([this](const ChoiceRequest& request) {
        return m_entry.choose(m_request.context.service, request, m_request.regions);
    });
    context.mayQueue = attempt.mayQueue;
    context.bypassesBreaker = attempt.bypassesBreaker;
    return attempt.choice;
}

void EntryExchange::startAttempt(OutcomeHandler<void> handler)
{
    if (const auto refusal = containment().refusalFor(m_request.context.fingerprint))
        return handler(tl::unexpected(finalRefusal(*refusal)));
    const auto choice = choose();
    logChoice(choice);
    if (!choice.target || !createAttempt(*choice.target)) {
        return handler(
            tl::unexpected(finalRefusal({ RefusalReason::NoTarget, RunState::NotRun, noTargetRetryAfter,
                std::string(choice.target
                        ? "the target is not guarded here, or its instance is not in the directory"
                        : choice.reason) })));
    }
    m_outstandingNumber = m_entry.addOutstanding(m_request.context.service, m_target);
    const auto& dependencies = m_entry.dependencies();
    dependencies.metrics.recordTransfer(dependencies.dataCentre, m_dataCentre);
    withAttempt([&](auto& attempt) {
        attempt.open([self = shared_from_this(), handler = std::move(handler)](
                         Outcome<void> opened) { self->onOpened(std::move(opened), handler); });
    });
}

bool EntryExchange::createAttempt(const Target& target)
{
    m_target = target.name;
    m_dataCentre = target.dataCentre;
    m_attemptStarted = util::BootClock::now();
    m_receivedBytes = 0;
    m_planner.recordAttempt(target.name, target.dataCentre != m_entry.dependencies().dataCentre);
    m_attempt = makeExchange(target, m_request.context);
    return !std::holds_alternative<std::monostate>(m_attempt);
}

EntryExchange::Attempt EntryExchange::makeExchange(const Target& target, const RequestContext& context)
{
    // Checked here for all attempts, however their targets were chosen.
    if (!m_entry.isAllowed(target, m_request.regions))
        return {};
    auto attemptContext = context;
    attemptContext.repeat = context.repeat || m_reachedTarget;
    attemptContext.knownTargetLimit = m_entry.noticeOf(target).requestsPerSecond;
    const auto& dependencies = m_entry.dependencies();
    if (target.instance == dependencies.self) {
        auto guarded = dependencies.guard.find(target.name);
        if (!guarded)
            return {};
        return std::make_shared<GuardExchange>(std::move(guarded), attemptContext, m_request.head);
    }
    const auto* instance = m_entry.directory()->instance(target.instance);
    if (!instance)
        return {};
    return std::make_shared<PeerExchange>(dependencies.peers, *instance, target.name, attemptContext,
        m_request.head, [weak = weak_from_this(), name = target.name](const TargetReport& report) {
            if (const auto self = weak.lock())
                self->m_entry.recordReport(name, report);
        });
}

void EntryExchange::logChoice(const TargetChoice& choice)
{
    auto& log = m_entry.dependencies().log;
    if (!log.enabled(LogLevel::Info))
        return;
    auto alternatives = nlohmann::ordered_json::array();
    for (const auto& alternative : choice.alternatives)
        alternatives.push_back({ { "target", alternative.target.text }, { "cost", alternative.cost } });
    log.write(LogLevel::Info, "route",
        { { "request", m_request.context.requestId }, { "organisation", m_request.context.organisation.text },
            { "route", m_request.route.name.text }, { "service", m_request.context.service.text },
            { "rank", m_request.context.rank }, { "revision", m_entry.configuration()->revision() },
            { "try", m_planner.attempts() + 1 }, { "target", choice.target ? choice.target->name.text : "" },
            { "mayQueue", m_request.context.mayQueue }, { "alternatives", alternatives },
            { "reason", choice.reason } });
}

void EntryExchange::logResponse(int status)
{
    const auto elapsed = util::BootClock::now() - m_started;
    m_entry.dependencies().log.write(LogLevel::Info, "answer",
        { { "request", m_request.context.requestId }, { "target", m_target.text }, { "status", status },
            { "tries", m_planner.attempts() },
            { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() } });
}

void EntryExchange::onAttemptEnded()
{
    m_entry.removeOutstanding(std::exchange(m_outstandingNumber, 0));
    if (const auto* local = std::get_if<std::shared_ptr<GuardExchange>>(&m_attempt))
        m_entry.recordReport(m_target, (*local)->report());
}

// Returns whether the body can be sent again: either none of it was read from the caller, or all of it is in
// memory.
bool EntryExchange::canReplayBody() const { return !m_sendStarted || m_replayBody.hasEnd(); }

std::string_view EntryExchange::retryDenialReason(const Refusal& refusal)
{
    const auto now = util::BootClock::now();
    if (m_cancelled)
        return "the caller has disconnected";
    if (refusal.run != RunState::NotRun && !m_request.context.idempotent)
        return "it may have run";
    if (refusal.reason == RefusalReason::CrashesTargets)
        return "it is held back";
    if (refusal.run != RunState::NotRun && containment().isSuspect(m_request.context.fingerprint))
        return "it may crash targets";
    if (!canReplayBody())
        return "its body was not retained completely";
    if (now + minimumAttemptTime >= m_request.context.deadline)
        return "less than 20 ms are left before its deadline";
    if (m_planner.attempts() >= attemptLimit(refusal))
        return "the limit of 10 attempts is reached";
    if (m_planner.isRefusedEverywhere())
        return "the shortest queues are too long";
    if (m_possibleRuns >= m_request.route.attempts)
        return "as many targets as its route allows may have run it";
    return "";
}

void EntryExchange::recordFailedAttempt(const Refusal& refusal, std::function<void(bool)> handler)
{
    recordRefusal(m_target, refusal);
    if (refusal.reason == RefusalReason::NoFreeSlot)
        recordRoundTrip();
    if (reachedTarget(refusal))
        m_holdsRetry = false;
    const auto denialReason = retryDenialReason(refusal);
    if (!denialReason.empty() || !reachedTarget(refusal)) {
        logFailedAttempt(m_target, refusal, denialReason.empty() ? std::string_view("yes") : denialReason);
        return handler(denialReason.empty());
    }
    m_entry.retries().acquireRetry(m_request.context.service, m_request.context.rank,
        [self = shared_from_this(), refusal, target = m_target, handler = std::move(handler)](bool granted) {
            self->m_holdsRetry = granted;
            if (self->m_cancelled)
                return self->returnUnusedRetry();
            self->logFailedAttempt(target, refusal,
                granted ? std::string_view("yes") : "the retry budget of the service is exhausted");
            if (granted)
                self->m_entry.dependencies().metrics.recordRetry();
            handler(granted);
        });
}

void EntryExchange::returnUnusedRetry()
{
    if (std::exchange(m_holdsRetry, false))
        m_entry.retries().returnRetry(m_request.context.service);
}

void EntryExchange::logFailedAttempt(const TargetName& target, const Refusal& refusal, std::string_view again)
{
    m_entry.dependencies().metrics.recordFailedAttempt(refusal);
    m_entry.dependencies().log.write(LogLevel::Warning, "try-failed",
        { { "request", m_request.context.requestId }, { "target", target.text },
            { "try", m_planner.attempts() }, { "reason", toString(refusal.reason) },
            { "run", toString(refusal.run) }, { "detail", refusal.detail }, { "again", again } });
}

void EntryExchange::recordRefusal(const TargetName& target, const Refusal& refusal)
{
    m_planner.recordRefusal(target, refusal.reason);
    containment().recordRefusal(m_request.context.fingerprint, refusal);
    m_reachedTarget = m_reachedTarget || reachedTarget(refusal);
    if (refusal.reason == RefusalReason::NoFreeSlot || refusal.reason == RefusalReason::TargetSuspect)
        return;
    if (refusal.reason == RefusalReason::PeerUnreachable) {
        if (auto* health = m_entry.health(m_request.context.service))
            health->recordPathFailure(target);
    }
    if (refusal.reason == RefusalReason::PeerUnreachable || refusal.reason == RefusalReason::Stopping
        || refusal.reason == RefusalReason::TargetEvacuated)
        m_entry.avoid(target, unreachableAvoidance);
    if (refusal.run == RunState::NotRun)
        return;
    ++m_possibleRuns;
    m_unknownOutcome = refusal;
}

void EntryExchange::onOpened(Outcome<void> opened, const OutcomeHandler<void>& handler)
{
    if (opened) {
        // Without a body the request is sent ahead of its admission.
        if (m_request.head.hasBody)
            recordRoundTrip();
        return handler({});
    }
    onAttemptEnded();
    recordFailedAttempt(
        opened.error(), [self = shared_from_this(), handler, refusal = opened.error()](bool retried) {
            if (retried)
                return self->startAttempt(handler);
            handler(tl::unexpected(self->finalRefusal(refusal)));
        });
}

Refusal EntryExchange::finalRefusal(Refusal refusal)
{
    returnUnusedRetry();
    if (refusal.run == RunState::NotRun && m_unknownOutcome)
        refusal = *m_unknownOutcome;
    TARRAGONHAVEN_CHECK(refusal.run != RunState::NotRun || !m_unknownOutcome,
        "a refusal must not say \"not run\" if an earlier attempt may have run");
    if (!m_settled && lacksCapacity(refusal.reason))
        m_entry.spillOver().recordRefused(m_request.context.service, util::BootClock::now());
    settleAdmission(outcomeOf(refusal.run), 0);
    return refusal;
}

// A part of the body may arrive from the caller after the exchange was cancelled.
void EntryExchange::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    if (m_cancelled)
        return;
    m_sendStarted = true;
    m_sentBodyBytes += chunk.data.size();
    const bool keptSoFar = m_replayBody.bodyBytes() + chunk.data.size() == m_sentBodyBytes;
    if (keptSoFar && m_sentBodyBytes <= replayBodyLimitBytes && m_budget->allows(chunk.data.size()))
        m_replayBody.append(chunk);
    else
        m_replayBody.clear();
    recordSentBytes(m_dataCentre, chunk.data.size());
    withAttempt([&](auto& attempt) { attempt.writeBody(std::move(chunk), std::move(handler)); });
}

void EntryExchange::readHead(OutcomeHandler<ResponseHead> handler)
{
    if (m_cancelled)
        return;
    m_awaitsHead = true;
    withAttempt([&](auto& attempt) {
        attempt.readHead([self = shared_from_this(), handler](
                             Outcome<ResponseHead> head) { self->onHeadRead(std::move(head), handler); });
    });
    scheduleHedge(handler);
}

bool EntryExchange::mayHedge() const
{
    const auto& context = m_request.context;
    // The attempt in progress and the hedge may both run the request.
    const bool mayRunTwice = m_possibleRuns + 2 <= m_request.route.attempts;
    return context.idempotent && m_replayBody.hasEnd() && mayRunTwice && m_awaitsHead && !m_hedgeStarted
        && !m_cancelled && !containment().isSuspect(context.fingerprint)
        && util::BootClock::now() + minimumAttemptTime < context.deadline;
}

void EntryExchange::scheduleHedge(const OutcomeHandler<ResponseHead>& handler)
{
    const auto share = m_entry.dependencies().options.hedgeShareOfObjective;
    const auto delay = util::fromSeconds(share * util::toSeconds(m_request.route.objective));
    if (delay <= util::Duration {} || !mayHedge())
        return;
    m_hedgeTimer.expires_after(delay);
    m_hedgeTimer.async_wait([weak = weak_from_this(), handler](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->mayHedge())
            self->startHedge(handler);
    });
}

void EntryExchange::startHedge(const OutcomeHandler<ResponseHead>& handler)
{
    const auto& service = m_request.context.service;
    const auto choice = m_planner.hedge([this, &service](const ChoiceRequest& request) {
        return m_entry.choose(service, request, m_request.regions);
    });
    if (!choice.target)
        return;
    auto context = m_request.context;
    context.mayQueue = false;
    context.bypassesBreaker = false;
    context.repeat = true;
    auto exchange = makeExchange(*choice.target, context);
    if (std::holds_alternative<std::monostate>(exchange) || !m_entry.retries().tryAcquireHedge(service))
        return;
    const auto& dependencies = m_entry.dependencies();
    dependencies.metrics.recordRetry();
    dependencies.metrics.recordHedge();
    m_hedgeStarted = true;
    m_planner.recordAttempt(choice.target->name, choice.target->dataCentre != dependencies.dataCentre);
    dependencies.metrics.recordTransfer(dependencies.dataCentre, choice.target->dataCentre);
    m_hedge = Hedge { std::move(exchange), choice.target->name, choice.target->dataCentre,
        m_entry.addOutstanding(service, choice.target->name) };
    dependencies.log.write(LogLevel::Info, "hedge",
        { { "request", context.requestId }, { "target", m_hedge->target.text },
            { "besides", m_target.text } });
    withExchange(m_hedge->exchange, [&](auto& attempt) {
        attempt.open([self = shared_from_this(), handler](const Outcome<void>& opened) {
            if (!opened)
                return self->onHedgeFailed(opened.error());
            self->sendHedge(0, handler);
        });
    });
}

void EntryExchange::sendHedge(std::size_t next, const OutcomeHandler<ResponseHead>& handler)
{
    withExchange(m_hedge->exchange, [&](auto& attempt) {
        if (next < m_replayBody.pieceCount()) {
            recordSentBytes(m_hedge->dataCentre, m_replayBody.piece(next).data.size());
            return attempt.writeBody(m_replayBody.piece(next),
                [self = shared_from_this(), next, handler](const Outcome<void>& written) {
                    if (!written)
                        return self->onHedgeFailed(written.error());
                    self->sendHedge(next + 1, handler);
                });
        }
        m_hedge->awaitsHead = true;
        attempt.readHead([self = shared_from_this(), handler](Outcome<ResponseHead> head) {
            self->onHedgeHeadRead(std::move(head), handler);
        });
    });
}

void EntryExchange::onHedgeHeadRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler)
{
    // The hedge has taken the place of the attempt that it was started besides.
    if (!m_hedge)
        return onHeadRead(std::move(head), handler);
    if (!head)
        return onHedgeFailed(head.error());
    if (isServerError(head->status))
        return onHedgeFailed(failureOf(*head));
    recordAbandonedRun();
    promoteHedge();
    onHeadRead(std::move(head), handler);
}

void EntryExchange::onHedgeFailed(const Refusal& refusal)
{
    recordRefusal(m_hedge->target, refusal);
    logFailedAttempt(m_hedge->target, refusal, "an earlier attempt is in progress");
    if (!reachedTarget(refusal))
        m_entry.retries().returnRetry(m_request.context.service);
    // Counted by recordRefusal().
    m_hedge->mayHaveRun = false;
    dropHedge();
}

void EntryExchange::promoteHedge()
{
    onAttemptEnded();
    withAttempt([](auto& attempt) { attempt.cancel(); });
    m_attempt = std::move(m_hedge->exchange);
    m_target = m_hedge->target;
    m_dataCentre = m_hedge->dataCentre;
    m_receivedBytes = 0;
    m_outstandingNumber = m_hedge->outstandingNumber;
    m_hedge.reset();
}

void EntryExchange::dropHedge()
{
    m_hedgeTimer.cancel();
    if (!m_hedge)
        return;
    if (m_hedge->mayHaveRun)
        recordAbandonedRun();
    auto hedge = std::move(*m_hedge);
    m_hedge.reset();
    m_entry.removeOutstanding(hedge.outstandingNumber);
    withExchange(hedge.exchange, [](auto& attempt) { attempt.cancel(); });
}

void EntryExchange::recordAbandonedRun()
{
    ++m_possibleRuns;
    if (!m_unknownOutcome)
        m_unknownOutcome = Refusal { RefusalReason::TargetTimeout, RunState::Unknown, util::Duration {},
            "another attempt responded first" };
}

void EntryExchange::onHeadRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler)
{
    const bool failed = !head || isServerError(head->status);
    if (failed && m_hedge && m_hedge->awaitsHead) {
        const auto refusal = head ? failureOf(*head) : head.error();
        recordRefusal(m_target, refusal);
        logFailedAttempt(m_target, refusal, "a hedge is in progress");
        return promoteHedge();
    }
    m_awaitsHead = false;
    dropHedge();
    onAttemptEnded();
    if (!head)
        return onAttemptFailed(head.error(), handler);
    if (auto* health = m_entry.health(m_request.context.service))
        health->recordServed(m_target);
    const auto limit = m_entry.dependencies().options.bufferedResponseBytes;
    const bool fits = head->contentLength <= static_cast<std::int64_t>(limit)
        && m_budget->allows(static_cast<std::size_t>(std::max<std::int64_t>(0, head->contentLength)));
    if (limit > 0 && head->hasBody && fits)
        return bufferResponse(*head, handler);
    onResponse(*head, handler);
}

// Reads the response into memory up to its end, or until it exceeds the limit of bytes to buffer, for this
// request or for all of them.
void EntryExchange::bufferResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler)
{
    withAttempt([&](auto& attempt) {
        attempt.readBody([self = shared_from_this(), head, handler](Outcome<BodyChunk> chunk) {
            if (!chunk)
                return self->onAttemptFailed(chunk.error(), handler);
            self->recordReceived(*chunk);
            auto& body = self->m_bufferedBody;
            body.append(std::move(*chunk));
            const bool mayReadMore
                = body.bodyBytes() <= self->m_entry.dependencies().options.bufferedResponseBytes
                && self->m_budget->allows(bodyChunkBytes);
            if (body.hasEnd() || !mayReadMore)
                return self->onResponse(head, handler);
            self->bufferResponse(head, handler);
        });
    });
}

void EntryExchange::onResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler)
{
    if (!m_request.context.idempotent) {
        const auto& headerNames = m_entry.dependencies().options.headerNames;
        const auto refusal = unprovenStatusRefusal(head, headerNames);
        return refusal ? onAttemptFailed(*refusal, handler) : passResponse(head, handler);
    }
    if (!isServerError(head.status))
        return passResponse(head, handler);
    recordFailedAttempt(failureOf(head), [self = shared_from_this(), head, handler](bool retried) {
        if (!retried)
            return self->passResponse(head, handler);
        if (!head.hasBody || self->m_bufferedBody.hasEnd())
            self->keepAsFallback(head);
        self->retry(handler);
    });
}

void EntryExchange::passResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler)
{
    m_responseReceived = !head.hasBody || m_bufferedBody.hasEnd();
    settleAdmission(IdempotencyOutcome::Completed, head.status);
    const auto& context = m_request.context;
    m_entry.spillOver().recordServed(
        context.service, m_planner.placement(), m_dataCentre, util::BootClock::now());
    const auto requestClass = context.rank == internalRequestRank ? RequestClass::FromTarget
        : context.idempotent                                      ? RequestClass::Idempotent
                                                                  : RequestClass::NotIdempotent;
    m_entry.dependencies().metrics.recordResponse(
        context.service, context.organisation, requestClass, util::BootClock::now() - m_started);
    logResponse(head.status);
    handler(head);
}

void EntryExchange::keepAsFallback(const ResponseHead& head)
{
    m_fallbackResponse.emplace(head, *m_budget);
    m_fallbackResponse->body.replaceWith(m_bufferedBody);
}

void EntryExchange::onAttemptFailed(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler)
{
    m_bufferedBody.clear();
    recordFailedAttempt(refusal, [self = shared_from_this(), refusal, handler](bool retried) {
        if (retried)
            return self->retry(handler);
        self->finish(refusal, handler);
    });
}

void EntryExchange::retry(const OutcomeHandler<ResponseHead>& handler)
{
    m_bufferedBody.clear();
    withAttempt([](auto& attempt) { attempt.cancel(); });
    startAttempt([self = shared_from_this(), handler](Outcome<void> opened) {
        if (!opened)
            return self->finish(opened.error(), handler);
        self->replayBody(0, handler);
    });
}

void EntryExchange::replayBody(std::size_t next, const OutcomeHandler<ResponseHead>& handler)
{
    if (next >= m_replayBody.pieceCount())
        return readHead(handler);
    recordSentBytes(m_dataCentre, m_replayBody.piece(next).data.size());
    withAttempt([&](auto& attempt) {
        attempt.writeBody(m_replayBody.piece(next),
            [self = shared_from_this(), next, handler](const Outcome<void>& written) {
                if (!written)
                    return self->readHead(handler);
                self->replayBody(next + 1, handler);
            });
    });
}

void EntryExchange::finish(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler)
{
    if (!m_fallbackResponse)
        return handler(tl::unexpected(finalRefusal(refusal)));
    returnUnusedRetry();
    m_bufferedBody.replaceWith(m_fallbackResponse->body);
    m_responseReceived = true;
    settleAdmission(IdempotencyOutcome::Completed, m_fallbackResponse->head.status);
    logResponse(m_fallbackResponse->head.status);
    handler(m_fallbackResponse->head);
}

void EntryExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    if (m_cancelled)
        return;
    if (m_bufferedBody.empty()) {
        return withAttempt([&](auto& attempt) {
            attempt.readBody(
                [self = shared_from_this(), handler = std::move(handler)](Outcome<BodyChunk> chunk) {
                    self->m_responseReceived = chunk && chunk->last;
                    if (chunk)
                        self->recordReceived(*chunk);
                    handler(std::move(chunk));
                });
        });
    }
    auto chunk = m_bufferedBody.takeFront();
    boost::asio::post(m_entry.dependencies().io,
        [self = shared_from_this(), handler = std::move(handler), chunk = std::move(chunk)]() mutable {
            if (!self->m_cancelled)
                handler(std::move(chunk));
        });
}

void EntryExchange::settleAdmission(IdempotencyOutcome outcome, int status)
{
    if (!m_admitted || std::exchange(m_settled, true))
        return;
    m_entry.dependencies().admission.recordOutcome(admissionRequest(), outcome, status);
}

void EntryExchange::cancel()
{
    m_cancelled = true;
    dropHedge();
    m_entry.removeOutstanding(std::exchange(m_outstandingNumber, 0));
    withAttempt([](auto& attempt) { attempt.cancel(); });
    settleAdmission(m_sendStarted ? IdempotencyOutcome::Unknown : IdempotencyOutcome::NotRun, 0);
}

} // namespace tarragonhaven
