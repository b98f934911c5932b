#include "tarragonhaven/quota_admission.h"

#include "tarragonhaven/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <limits>
#include <optional>
#include <set>

namespace tarragonhaven {

namespace {

    // A keeper answers within a round trip; one that has not after this is passed over for a while.
    constexpr util::Duration answerTimeout = std::chrono::milliseconds(400);
    // How long a request waits for word on use elsewhere before it is decided without.
    constexpr util::Duration askTimeout = std::chrono::milliseconds(150);
    constexpr util::Duration silentFor = std::chrono::seconds(3);
    constexpr util::Duration forgetInterval = std::chrono::seconds(2);
    // When an organisation over its limit may come back: a tenth of the usual window.
    constexpr util::Duration retryAfter = std::chrono::milliseconds(500);
    // What is used of the bound on retries; the rest is for those that targets count otherwise, such as calls
    // of a repeated run.
    constexpr double retryShareUsed = 0.75;

    QuotaOptions requestOptions(const FleetPolicy& policy)
    {
        QuotaOptions options;
        options.window = policy.quotaWindow;
        options.overshoot = policy.quotaOvershoot;
        options.slack = policy.quotaSlack;
        return options;
    }

    // Retries are few, so their counts are told lazily.
    QuotaOptions retryOptions(const FleetPolicy& policy)
    {
        QuotaOptions options;
        options.window = policy.retryWindow;
        options.overshoot = 0;
        options.slack = 0;
        options.eagerAsks = std::numeric_limits<int>::max();
        return options;
    }

    // The kind that a message names, or nothing for one that is not known here.
    std::optional<QuotaKind> kindOf(int kind)
    {
        const bool known
            = kind == static_cast<int>(QuotaKind::Requests) || kind == static_cast<int>(QuotaKind::Retries);
        return known ? std::optional(static_cast<QuotaKind>(kind)) : std::nullopt;
    }

} // namespace

QuotaAdmission::Ledger QuotaAdmission::makeLedger(const QuotaOptions& options)
{
    return { WindowQuota(options, util::BootClock::now()), QuotaTotals(options.window) };
}

QuotaAdmission::QuotaAdmission(Parts parts)
    : m_parts(std::move(parts))
    , m_ledgers { makeLedger(requestOptions(m_parts.policy)), makeLedger(retryOptions(m_parts.policy)) }
{
}

void QuotaAdmission::apply(ConfigurationPointer configuration, DirectoryPointer directory)
{
    m_configuration = std::move(configuration);
    if (directory == m_directory || !directory)
        return;
    m_directory = std::move(directory);
    std::erase_if(m_lost, [this](const InstanceName& node) { return !m_directory->instance(node); });
    std::vector<std::string> nodes;
    for (const auto& [name, instance] : m_directory->instances())
        nodes.push_back(name.text);
    if (nodes == m_nodes)
        return;
    m_nodes = std::move(nodes);
    m_keepers.clear();
}

InstanceName QuotaAdmission::keeperOf(QuotaKind kind, const std::string& name)
{
    const auto known = m_keepers.find({ kind, name });
    if (known != m_keepers.end())
        return known->second;
    InstanceName keeper;
    for (const auto& candidate : rendezvousOrder(name, m_nodes)) {
        if (m_silent.contains({ candidate }))
            continue;
        keeper = { candidate };
        break;
    }
    m_keepers.emplace(std::pair(kind, name), keeper);
    return keeper;
}

double QuotaAdmission::limitOf(const Organisation& organisation) const
{
    return organisation.ratePerSecond * util::toSeconds(m_parts.policy.quotaWindow) + organisation.burst;
}

QuotaDecision QuotaAdmission::decide(const Organisation& organisation, bool final)
{
    return ledger(QuotaKind::Requests)
        .quota.decide(
            organisation.name.text, limitOf(organisation), m_nodes.size(), util::BootClock::now(), final);
}

void QuotaAdmission::admit(const AdmissionRequest& request, OutcomeHandler<void> handler)
{
    const auto* organisation
        = m_configuration ? m_configuration->organisation(request.organisation) : nullptr;
    const bool limited = organisation && organisation->ratePerSecond > 0;
    if (!limited)
        return handler({});
    const auto now = util::BootClock::now();
    ledger(QuotaKind::Requests).quota.noteAsked(organisation->name.text, now);
    const auto decision = decide(*organisation, false);
    if (decision.reason != QuotaReason::Unsure)
        return conclude(decision, handler);
    const bool asking = std::any_of(m_waiting.begin(), m_waiting.end(),
        [&](const Waiting& waiting) { return waiting.organisation == organisation->name; });
    m_waiting.push_back({ organisation->name, std::move(handler), now + askTimeout });
    if (!asking)
        report(QuotaKind::Requests, organisation->name.text);
}

void QuotaAdmission::conclude(const QuotaDecision& decision, const OutcomeHandler<void>& handler)
{
    if (decision.admitted)
        return handler({});
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(decision.age).count();
    const auto detail = absl::StrCat(std::string(name(decision.reason)), ", own ", decision.own,
        ", elsewhere ", decision.elsewhere, " of ", decision.limit, ", known for ", age, " ms");
    boost::asio::post(m_parts.io, [handler, detail] {
        handler(
            tl::unexpected(Refusal { RefusalReason::RateExceeded, RunState::NotRun, retryAfter, detail }));
    });
}

void QuotaAdmission::noteFirstTry(const ServiceName& service)
{
    ledger(QuotaKind::Retries).quota.noteAsked(service.text, util::BootClock::now());
}

bool QuotaAdmission::takeRetry(const ServiceName& service)
{
    const auto now = util::BootClock::now();
    auto& quota = ledger(QuotaKind::Retries).quota;
    const auto& policy = m_parts.policy;
    const double limit
        = retryShareUsed * (policy.retryShare * quota.askedEverywhere(service.text, now) + policy.retrySlack);
    const auto decision = quota.decide(service.text, limit, m_nodes.size(), now, true);
    auto& counts = m_retryCounts[service];
    ++(decision.admitted ? counts.granted : counts.denied);
    counts.left = limit - decision.own - decision.elsewhere;
    return decision.admitted;
}

// Decides again on the requests of an organisation whose use elsewhere has become known, or will not in time.
void QuotaAdmission::settleWaiting(const std::string& organisation, bool final)
{
    // Answers to counts may come to a node that has no declarations yet; then nothing waits.
    if (m_waiting.empty())
        return;
    const auto first = std::stable_partition(m_waiting.begin(), m_waiting.end(),
        [&](const Waiting& waiting) { return waiting.organisation.text != organisation; });
    const std::vector<Waiting> settled(
        std::make_move_iterator(first), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(first, m_waiting.end());
    const auto* declared = m_configuration->organisation({ organisation });
    for (const auto& waiting : settled) {
        if (declared)
            conclude(decide(*declared, final), waiting.handler);
        else
            waiting.handler({});
    }
}

void QuotaAdmission::expireWaiting(util::Time now)
{
    std::set<std::string> late;
    for (const auto& waiting : m_waiting) {
        if (now >= waiting.until)
            late.insert(waiting.organisation.text);
    }
    for (const auto& organisation : late)
        settleWaiting(organisation, true);
}

QuotaElsewhere QuotaAdmission::addUp(QuotaKind kind, const InstanceName& node, const QuotaUse& use)
{
    const auto now = util::BootClock::now();
    auto& [quota, totals] = ledger(kind);
    auto elsewhere = totals.note(node, use, now);
    const auto* organisation = kind == QuotaKind::Requests && m_configuration
        ? m_configuration->organisation({ use.name })
        : nullptr;
    if (!organisation || organisation->ratePerSecond <= 0)
        return elsewhere;
    const double limit = limitOf(*organisation);
    if (!WindowQuota::nearLimit(use.admitted + elsewhere.admitted, limit))
        return elsewhere;
    for (const auto& silent : totals.toAsk(use.name, m_nodes, now)) {
        const auto* instance = silent == m_parts.self ? nullptr : m_directory->instance(silent);
        if (instance)
            m_parts.socket.send(
                instance->peerAddress, QuotaQueryMessage { static_cast<int>(kind), { use.name } });
        else
            totals.note(silent, quota.use(use.name, now), now);
    }
    elsewhere.admitted
        += static_cast<std::uint32_t>(quota.reserveFor(totals.silent(use.name, now), limit, m_nodes.size()));
    return elsewhere;
}

void QuotaAdmission::receive(const Endpoint& source, const QuotaQueryMessage& message)
{
    const auto kind = kindOf(message.kind);
    if (!kind)
        return;
    QuotaReportMessage report;
    report.kind = message.kind;
    for (const auto& name : message.names)
        report.usages.push_back(ledger(*kind).quota.use(name, util::BootClock::now()));
    m_parts.socket.send(source, std::move(report));
}

void QuotaAdmission::receive(
    const Endpoint& source, const InstanceName& from, const QuotaReportMessage& message)
{
    const auto kind = kindOf(message.kind);
    if (!kind)
        return;
    RemoteQuotaUsageMessage answer;
    answer.kind = message.kind;
    for (const auto& use : message.usages)
        answer.remoteUsages.push_back(addUp(*kind, from, use));
    m_parts.socket.send(source, std::move(answer));
}

void QuotaAdmission::receive(const InstanceName& from, const RemoteQuotaUsageMessage& message)
{
    const auto kind = kindOf(message.kind);
    if (!kind)
        return;
    m_unanswered.erase(from);
    if (m_lost.erase(from) > 0)
        m_parts.log.write(LogLevel::Info, "dependency",
            { { "name", "quota-keeper" }, { "event", "reached" }, { "keeper", from.text } });
    for (const auto& elsewhere : message.remoteUsages)
        ledger(*kind).quota.noteElsewhere(elsewhere, util::BootClock::now());
    if (*kind != QuotaKind::Requests)
        return;
    for (const auto& elsewhere : message.remoteUsages)
        settleWaiting(elsewhere.name, true);
}

void QuotaAdmission::noteSilence(util::Time now)
{
    std::erase_if(m_unanswered, [this, now](const auto& item) {
        if (now - item.second < answerTimeout)
            return false;
        m_silent[item.first] = now + silentFor;
        m_keepers.clear();
        m_lost.insert(item.first);
        m_parts.log.write(LogLevel::Warning, "dependency",
            { { "name", "quota-keeper" }, { "event", "lost" }, { "keeper", item.first.text } });
        return true;
    });
    const auto ended = std::erase_if(m_silent, [now](const auto& item) { return now >= item.second; });
    if (ended > 0)
        m_keepers.clear();
}

void QuotaAdmission::report(QuotaKind kind, const std::string& urgent)
{
    const auto now = util::BootClock::now();
    auto& quota = ledger(kind).quota;
    std::map<InstanceName, QuotaReportMessage> reports;
    std::vector<std::string> kept;
    for (auto& use : quota.takeReports(now, urgent)) {
        const auto keeper = keeperOf(kind, use.name);
        if (keeper == m_parts.self) {
            quota.noteElsewhere(addUp(kind, m_parts.self, use), now);
            kept.push_back(use.name);
        } else if (!keeper.text.empty()) {
            reports[keeper].usages.push_back(std::move(use));
        }
    }
    for (auto& [keeper, report] : reports) {
        const auto* instance = m_directory->instance(keeper);
        if (!instance)
            continue;
        report.kind = static_cast<int>(kind);
        m_unanswered.try_emplace(keeper, now);
        m_parts.socket.send(instance->peerAddress, std::move(report));
    }
    if (kind != QuotaKind::Requests)
        return;
    for (const auto& name : kept)
        settleWaiting(name, true);
}

void QuotaAdmission::tick()
{
    const auto now = util::BootClock::now();
    noteSilence(now);
    expireWaiting(now);
    report(QuotaKind::Requests, {});
    report(QuotaKind::Retries, {});
    if (now < m_nextForget)
        return;
    m_nextForget = now + forgetInterval;
    for (auto& [quota, totals] : m_ledgers) {
        quota.forget(now);
        totals.forget(now);
    }
}

} // namespace tarragonhaven
