// One attempt at a time. An attempt that has ended is replaced, and with it all that could still arrive from
// it.

#include "tarragonhaven/entry_exchange.h"

#include "util/check.h"

#include <utility>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumTries = 3;
    constexpr int unavailableStatus = 503;
    constexpr util::Duration noTargetRetryAfter = std::chrono::seconds(1);

    IdentityOutcome outcomeOf(RunState run)
    {
        return run == RunState::NotRun ? IdentityOutcome::NotRun : IdentityOutcome::Unknown;
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
    const bool identified = m_request.route.identity == IdentityRule::Required;
    return { m_request.context.requestId, m_request.context.organisation,
        identified ? m_request.identity : std::string(), m_request.head.method + " " + m_request.head.target,
        m_request.context.deadline };
}

void EntryExchange::open(OutcomeHandler<void> handler)
{
    m_entry.retryBudget(m_request.context.service).noteFirstTry();
    m_entry.parts().admission.admit(admissionRequest(),
        [self = shared_from_this(), handler = std::move(handler)](Outcome<void> admitted) {
            if (!admitted)
                return handler(tl::unexpected(admitted.error()));
            self->m_admitted = true;
            if (self->m_cancelled)
                return self->settle(IdentityOutcome::NotRun, 0);
            self->tryTarget(handler);
        });
}

void EntryExchange::tryTarget(OutcomeHandler<void> handler)
{
    const auto choice = m_entry.choose(m_request.context.service, { m_request.context.idempotent, m_tried });
    logChoice(choice);
    if (!choice.target || !makeAttempt(*choice.target)) {
        return handler(
            tl::unexpected(finalRefusal({ RefusalReason::NoTarget, RunState::NotRun, noTargetRetryAfter,
                std::string(choice.target ? "its instance is not declared" : choice.reason) })));
    }
    m_waiting = m_entry.beginWaiting(m_request.context.service, m_target);
    onAttempt([&](auto& attempt) {
        attempt.open([self = shared_from_this(), handler = std::move(handler)](
                         Outcome<void> opened) { self->opened(std::move(opened), handler); });
    });
}

bool EntryExchange::makeAttempt(const Target& target)
{
    m_target = target.name;
    m_tried.insert(target.name);
    const auto& parts = m_entry.parts();
    if (target.instance == parts.self) {
        auto guarded = parts.guard.find(target.name);
        if (!guarded)
            return false;
        m_attempt = std::make_shared<GuardExchange>(std::move(guarded), m_request.context, m_request.head);
        return true;
    }
    const auto* instance = m_entry.configuration()->instance(target.instance);
    if (!instance)
        return false;
    m_attempt = std::make_shared<PeerExchange>(parts.peers, *instance, target.name, m_request.context,
        m_request.head, [weak = weak_from_this(), name = target.name](const TargetReport& report) {
            if (const auto self = weak.lock())
                self->noteReport(name, report);
        });
    return true;
}

void EntryExchange::logChoice(const TargetChoice& choice)
{
    auto alternatives = nlohmann::ordered_json::array();
    for (const auto& alternative : choice.alternatives)
        alternatives.push_back({ { "target", alternative.target.text }, { "cost", alternative.cost } });
    m_entry.parts().log.write(LogLevel::Info, "route",
        { { "request", m_request.context.requestId }, { "organisation", m_request.context.organisation.text },
            { "route", m_request.route.name.text }, { "service", m_request.context.service.text },
            { "try", m_tried.size() + 1 }, { "target", choice.target ? choice.target->name.text : "" },
            { "alternatives", alternatives }, { "reason", choice.reason } });
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
    m_entry.endWaiting(std::exchange(m_waiting, 0));
    if (const auto* local = std::get_if<std::shared_ptr<GuardExchange>>(&m_attempt))
        noteReport(m_target, (*local)->report());
}

bool EntryExchange::mayTryAgain(RunState run)
{
    const bool safe = run == RunState::NotRun || (m_request.context.idempotent && !m_request.head.hasBody);
    const bool bodyKept = !m_request.head.hasBody || !m_sent;
    const bool inTime = util::BootClock::now() < m_request.context.deadline;
    if (!safe || !bodyKept || !inTime || m_tried.size() >= maximumTries)
        return false;
    if (!m_entry.retryBudget(m_request.context.service).takeRetry())
        return false;
    m_entry.parts().metrics.noteRetry();
    return true;
}

void EntryExchange::opened(Outcome<void> opened, const OutcomeHandler<void>& handler)
{
    if (opened)
        return handler({});
    attemptEnded();
    const auto refusal = opened.error();
    if (refusal.reason == RefusalReason::PeerUnreachable) {
        if (auto* health = m_entry.health(m_request.context.service))
            health->notePathFailure(m_target);
    }
    if (mayTryAgain(refusal.run))
        return tryTarget(handler);
    handler(tl::unexpected(finalRefusal(refusal)));
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
    const bool shed = head && head->status == unavailableStatus && m_request.context.idempotent;
    const auto run = head ? RunState::Unknown : head.error().run;
    if (!head && run != RunState::NotRun)
        m_unknown = head.error();
    if (shed)
        m_unknown = Refusal { RefusalReason::TargetFailed, RunState::Unknown, noTargetRetryAfter,
            "shed by the target" };
    if ((!head || shed) && mayTryAgain(run))
        return tryAgain(handler);
    if (!head)
        return handler(tl::unexpected(finalRefusal(head.error())));
    settle(IdentityOutcome::Completed, head->status);
    m_entry.parts().metrics.noteAnswer(
        m_request.context.service, m_request.context.organisation, util::BootClock::now() - m_started);
    handler(std::move(head));
}

void EntryExchange::tryAgain(const OutcomeHandler<ResponseHead>& handler)
{
    tryTarget([self = shared_from_this(), handler](Outcome<void> opened) {
        if (!opened)
            return handler(tl::unexpected(opened.error()));
        self->writeBody({ "", true }, [self, handler](Outcome<void>) { self->readHead(handler); });
    });
}

void EntryExchange::readBody(OutcomeHandler<BodyChunk> handler)
{
    onAttempt([&](auto& attempt) { attempt.readBody(std::move(handler)); });
}

void EntryExchange::settle(IdentityOutcome outcome, int status)
{
    if (!m_admitted || std::exchange(m_settled, true))
        return;
    m_entry.parts().admission.settle(admissionRequest(), outcome, status);
}

void EntryExchange::cancel()
{
    m_cancelled = true;
    m_entry.endWaiting(std::exchange(m_waiting, 0));
    onAttempt([](auto& attempt) { attempt.cancel(); });
    settle(m_sent ? IdentityOutcome::Unknown : IdentityOutcome::NotRun, 0);
}

} // namespace tarragonhaven
