// One attempt at a time. An attempt that has ended is replaced, and with it all that could still arrive from
// it.

#include "tarragonhaven/entry_exchange.h"

#include "util/check.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // Refusals by guards cost a hop each, so a request that nobody takes gives up after this many.
    constexpr int mostTries = 10;
    // Tries at which a request may wait, before it insists.
    constexpr int queueTries = 2;
    constexpr std::size_t keptBodyBytes = 64 * 1024;
    constexpr int firstServerErrorStatus = 500;
    // How long a target is avoided whose guard does not answer or stops.
    constexpr util::Duration unreachableFor = std::chrono::milliseconds(1500);
    constexpr util::Duration noTargetRetryAfter = std::chrono::seconds(1);
    // A try that has less time left than this reaches no target.
    constexpr util::Duration shortestTry = std::chrono::milliseconds(20);

    IdentityOutcome outcomeOf(RunState run)
    {
        return run == RunState::NotRun ? IdentityOutcome::NotRun : IdentityOutcome::Unknown;
    }

    // Whether the target saw the request, so that trying again is a retry for it.
    bool reachedTarget(const Refusal& refusal)
    {
        return refusal.run != RunState::NotRun || refusal.reason == RefusalReason::TargetShed;
    }

} // namespace

EntryExchange::EntryExchange(Entry& entry, AcceptedRequest request)
    : m_entry(entry)
    , m_request(std::move(request))
    , m_started(util::BootClock::now())
{
}

EntryExchange::~EntryExchange() { cancel(); }

AdmissionRequest EntryExchange::admissionRequest() const
{
    const bool requiresIdempotencyKey = m_request.route.idempotencyKeyRule == IdempotencyKeyRule::Required;
    return { m_request.context.requestId, m_request.context.organisation,
        requiresIdempotencyKey ? m_request.idempotencyKey : std::string(),
        m_request.head.method + " " + m_request.head.target, m_request.context.deadline };
}

void EntryExchange::open(OutcomeHandler<void> handler)
{
    m_entry.retries().noteFirstTry(m_request.context.service);
    m_entry.dependencies().admission.admit(admissionRequest(),
        [self = shared_from_this(), handler = std::move(handler)](Outcome<void> admitted) {
            if (!admitted)
                return handler(tl::unexpected(admitted.error()));
            self->m_admitted = true;
            if (self->m_cancelled)
                return self->settle(IdentityOutcome::NotRun, 0);
            self->tryTarget(handler);
        });
}

// Targets with a free slot are looked for first; when none is found in a few tries, the request waits at the
// one that seems the least loaded. One that may be repeated and is refused everywhere is tried at last at
// targets that are held back, if the options say so; any other would only risk to end as "unknown".
TargetChoice EntryExchange::choose()
{
    const auto& options = m_entry.dependencies().options;
    auto& context = m_request.context;
    ChoiceRequest request { context.idempotent, m_failed, options.spillLoad };
    request.unprovenWeight = context.idempotent ? 0 : options.unprovenWeight;
    request.excluded.insert(m_held.begin(), m_held.end());
    if (m_tries < options.nonQueuingAttempts) {
        context.mayQueue = false;
        auto quick = request;
        quick.excluded.insert(m_full.begin(), m_full.end());
        const auto choice = m_entry.choose(context.service, quick);
        if (choice.target)
            return choice;
    }
    context.mayQueue = true;
    request.leastLoaded = options.nonQueuingAttempts > 0;
    const bool mayInsist = options.bypassBreakerAsLastResort && context.idempotent;
    if (!mayInsist || m_tries < options.nonQueuingAttempts + queueTries) {
        const auto choice = m_entry.choose(context.service, request);
        if (choice.target || !mayInsist)
            return choice;
    }
    context.bypassesBreaker = true;
    request.includeHeld = true;
    request.excluded = m_failed;
    return m_entry.choose(context.service, request);
}

void EntryExchange::tryTarget(OutcomeHandler<void> handler)
{
    const auto choice = choose();
    logChoice(choice);
    if (!choice.target || !makeAttempt(*choice.target)) {
        return handler(tl::unexpected(finalRefusal({ RefusalReason::NoTarget, RunState::NotRun,
            noTargetRetryAfter, std::string(choice.target ? "its instance is not known" : choice.reason) })));
    }
    m_waiting = m_entry.addOutstanding(m_request.context.service, m_target);
    onAttempt([&](auto& attempt) {
        attempt.open([self = shared_from_this(), handler = std::move(handler)](
                         Outcome<void> opened) { self->opened(std::move(opened), handler); });
    });
}

bool EntryExchange::makeAttempt(const Target& target)
{
    m_target = target.name;
    ++m_tries;
    const auto& dependencies = m_entry.dependencies();
    if (target.instance == dependencies.self) {
        auto guarded = dependencies.guard.find(target.name);
        if (!guarded)
            return false;
        m_attempt = std::make_shared<GuardExchange>(std::move(guarded), m_request.context, m_request.head);
        return true;
    }
    const auto* instance = m_entry.directory()->instance(target.instance);
    if (!instance)
        return false;
    m_attempt = std::make_shared<PeerExchange>(dependencies.peers, *instance, target.name, m_request.context,
        m_request.head, [weak = weak_from_this(), name = target.name](const TargetReport& report) {
            if (const auto self = weak.lock())
                self->noteReport(name, report);
        });
    return true;
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
            { "revision", m_entry.configuration()->revision() }, { "try", m_tries + 1 },
            { "target", choice.target ? choice.target->name.text : "" },
            { "mayQueue", m_request.context.mayQueue }, { "alternatives", alternatives },
            { "reason", choice.reason } });
}

void EntryExchange::logAnswer(int status)
{
    const auto took = util::BootClock::now() - m_started;
    m_entry.dependencies().log.write(LogLevel::Info, "answer",
        { { "request", m_request.context.requestId }, { "target", m_target.text }, { "status", status },
            { "tries", m_tries },
            { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count() } });
}

template <typename Call> void EntryExchange::onAttempt(Call call)
{
    if (const auto* local = std::get_if<std::shared_ptr<GuardExchange>>(&m_attempt))
        return call(**local);
    if (const auto* remote = std::get_if<std::shared_ptr<PeerExchange>>(&m_attempt))
        return call(**remote);
}

void EntryExchange::noteReport(const TargetName& target, const TargetReport& report)
{
    if (auto* health = m_entry.health(m_request.context.service))
        health->noteReport(target, report, util::BootClock::now());
}

void EntryExchange::attemptEnded()
{
    m_entry.removeOutstanding(std::exchange(m_waiting, 0));
    if (const auto* local = std::get_if<std::shared_ptr<GuardExchange>>(&m_attempt))
        noteReport(m_target, (*local)->report());
}

// Whether the body can be sent again: none of it was taken from the caller, or all of it is here.
bool EntryExchange::bodyKept() const { return !m_sent || (!m_sentBody.empty() && m_sentBody.back().last); }

std::string_view EntryExchange::whyLastTry(const Refusal& refusal)
{
    const auto now = util::BootClock::now();
    if (m_cancelled)
        return "the caller has left";
    if (refusal.run != RunState::NotRun && !m_request.context.idempotent)
        return "it may have run";
    if (!bodyKept())
        return "its body was not kept";
    if (now + shortestTry >= m_request.context.deadline)
        return "its time is over";
    if (m_tries >= mostTries)
        return "tries are used up";
    if (m_runs >= m_request.route.attempts)
        return "the route's attempts are used up";
    if (!reachedTarget(refusal))
        return "";
    if (!m_entry.retries().takeRetry(m_request.context.service))
        return "retries of the service are used up";
    m_entry.dependencies().metrics.noteRetry();
    return "";
}

bool EntryExchange::tryFailed(const Refusal& refusal)
{
    noteRefusal(refusal);
    const auto last = whyLastTry(refusal);
    m_entry.dependencies().metrics.noteTryFailed(refusal);
    m_entry.dependencies().log.write(LogLevel::Warning, "try-failed",
        { { "request", m_request.context.requestId }, { "target", m_target.text }, { "try", m_tries },
            { "reason", name(refusal.reason) }, { "run", name(refusal.run) }, { "detail", refusal.detail },
            { "again", last.empty() ? std::string_view("yes") : last } });
    return last.empty();
}

void EntryExchange::noteRefusal(const Refusal& refusal)
{
    if (refusal.reason == RefusalReason::NoFreeSlot) {
        m_full.insert(m_target);
        return;
    }
    if (refusal.reason == RefusalReason::TargetSuspect) {
        m_held.insert(m_target);
        return;
    }
    m_failed.insert(m_target);
    if (refusal.reason == RefusalReason::PeerUnreachable) {
        if (auto* health = m_entry.health(m_request.context.service))
            health->notePathFailure(m_target);
    }
    if (refusal.reason == RefusalReason::PeerUnreachable || refusal.reason == RefusalReason::Stopping)
        m_entry.avoid(m_target, unreachableFor);
    if (refusal.run == RunState::NotRun)
        return;
    ++m_runs;
    m_unknown = refusal;
}

void EntryExchange::opened(Outcome<void> opened, const OutcomeHandler<void>& handler)
{
    if (opened)
        return handler({});
    attemptEnded();
    if (tryFailed(opened.error()))
        return tryTarget(handler);
    handler(tl::unexpected(finalRefusal(opened.error())));
}

Refusal EntryExchange::finalRefusal(Refusal refusal)
{
    if (refusal.run == RunState::NotRun && m_unknown)
        refusal = *m_unknown;
    TARRAGONHAVEN_CHECK(
        refusal.run != RunState::NotRun || !m_unknown, "\"not run\" is said of no try that may have run");
    settle(outcomeOf(refusal.run), 0);
    return refusal;
}

void EntryExchange::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    m_sent = true;
    m_sentBytes += chunk.data.size();
    if (m_sentBytes <= keptBodyBytes)
        m_sentBody.push_back(chunk);
    else
        m_sentBody.clear();
    onAttempt([&](auto& attempt) { attempt.writeBody(std::move(chunk), std::move(handler)); });
}

void EntryExchange::readHead(OutcomeHandler<ResponseHead> handler)
{
    onAttempt([&](auto& attempt) {
        attempt.readHead([self = shared_from_this(), handler = std::move(handler)](
                             Outcome<ResponseHead> head) { self->headRead(std::move(head), handler); });
    });
}

void EntryExchange::headRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler)
{
    attemptEnded();
    if (!head)
        return attemptFailed(head.error(), handler);
    const auto limit = m_entry.dependencies().options.bufferedResponseBytes;
    const bool fits = head->contentLength <= static_cast<std::int64_t>(limit);
    if (limit > 0 && head->hasBody && fits)
        return readWhole(*head, 0, handler);
    answered(*head, handler);
}

// Reads the answer into memory until its end or until it is too large to keep.
void EntryExchange::readWhole(
    const ResponseHead& head, std::size_t bytes, const OutcomeHandler<ResponseHead>& handler)
{
    onAttempt([&](auto& attempt) {
        attempt.readBody([self = shared_from_this(), head, bytes, handler](Outcome<BodyChunk> chunk) {
            if (!chunk)
                return self->attemptFailed(chunk.error(), handler);
            const auto total = bytes + chunk->data.size();
            const bool last = chunk->last;
            self->m_read.push_back(std::move(*chunk));
            if (last || total > self->m_entry.dependencies().options.bufferedResponseBytes)
                return self->answered(head, handler);
            self->readWhole(head, total, handler);
        });
    });
}

void EntryExchange::answered(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler)
{
    const bool failure = head.status >= firstServerErrorStatus && m_request.context.idempotent;
    if (failure) {
        const Refusal refusal { RefusalReason::TargetFailed, RunState::Unknown, noTargetRetryAfter,
            "the target answered " + std::to_string(head.status) };
        const bool whole = !head.hasBody || (!m_read.empty() && m_read.back().last);
        if (tryFailed(refusal)) {
            if (whole)
                m_fallback = WholeAnswer { head, std::exchange(m_read, {}) };
            return tryAgain(handler);
        }
    }
    settle(IdentityOutcome::Completed, head.status);
    const auto& context = m_request.context;
    const auto kind = context.rank == internalRequestRank ? RequestClass::OfTarget
        : context.idempotent                              ? RequestClass::Idempotent
                                                          : RequestClass::NotIdempotent;
    m_entry.dependencies().metrics.noteAnswer(
        context.service, context.organisation, kind, util::BootClock::now() - m_started);
    logAnswer(head.status);
    handler(head);
}

void EntryExchange::attemptFailed(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler)
{
    m_read.clear();
    if (tryFailed(refusal))
        return tryAgain(handler);
    finish(refusal, handler);
}

void EntryExchange::tryAgain(const OutcomeHandler<ResponseHead>& handler)
{
    m_read.clear();
    onAttempt([](auto& attempt) { attempt.cancel(); });
    tryTarget([self = shared_from_this(), handler](Outcome<void> opened) {
        if (!opened)
            return self->finish(opened.error(), handler);
        self->replayBody(0, handler);
    });
}

void EntryExchange::replayBody(std::size_t next, const OutcomeHandler<ResponseHead>& handler)
{
    if (next >= m_sentBody.size())
        return readHead(handler);
    onAttempt([&](auto& attempt) {
        attempt.writeBody(
            m_sentBody[next], [self = shared_from_this(), next, handler](const Outcome<void>& written) {
                if (!written)
                    return self->readHead(handler);
                self->replayBody(next + 1, handler);
            });
    });
}

void EntryExchange::finish(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler)
{
    if (!m_fallback)
        return handler(tl::unexpected(finalRefusal(refusal)));
    m_read = std::move(m_fallback->body);
    settle(IdentityOutcome::Completed, m_fallback->head.status);
    logAnswer(m_fallback->head.status);
    handler(m_fallback->head);
}

void EntryExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    if (m_read.empty())
        return onAttempt([&](auto& attempt) { attempt.readBody(std::move(handler)); });
    auto chunk = std::move(m_read.front());
    m_read.pop_front();
    boost::asio::post(m_entry.dependencies().io,
        [self = shared_from_this(), handler = std::move(handler), chunk = std::move(chunk)]() mutable {
            if (!self->m_cancelled)
                handler(std::move(chunk));
        });
}

void EntryExchange::settle(IdentityOutcome outcome, int status)
{
    if (!m_admitted || std::exchange(m_settled, true))
        return;
    m_entry.dependencies().admission.settle(admissionRequest(), outcome, status);
}

void EntryExchange::cancel()
{
    m_cancelled = true;
    m_entry.removeOutstanding(std::exchange(m_waiting, 0));
    onAttempt([](auto& attempt) { attempt.cancel(); });
    settle(m_sent ? IdentityOutcome::Unknown : IdentityOutcome::NotRun, 0);
}

} // namespace tarragonhaven
