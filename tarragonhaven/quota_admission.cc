#include "tarragonhaven/quota_admission.h"

#include "tarragonhaven/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
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

} // namespace

QuotaAdmission::QuotaAdmission(Parts parts)
    : m_parts(std::move(parts))
    , m_quota(m_parts.options, util::BootClock::now())
    , m_totals(m_parts.options.window)
{
}

void QuotaAdmission::apply(ConfigurationPointer configuration, DirectoryPointer directory)
{
    m_configuration = std::move(configuration);
    if (directory == m_directory || !directory)
        return;
    m_directory = std::move(directory);
    std::vector<std::string> nodes;
    for (const auto& [name, instance] : m_directory->instances())
        nodes.push_back(name.text);
    if (nodes == m_nodes)
        return;
    m_nodes = std::move(nodes);
    m_keepers.clear();
}

InstanceName QuotaAdmission::keeperOf(const std::string& organisation)
{
    const auto known = m_keepers.find(organisation);
    if (known != m_keepers.end())
        return known->second;
    InstanceName keeper;
    for (const auto& candidate : rendezvousOrder(organisation, m_nodes)) {
        if (m_silent.contains({ candidate }))
            continue;
        keeper = { candidate };
        break;
    }
    m_keepers.emplace(organisation, keeper);
    return keeper;
}

void QuotaAdmission::admit(const AdmissionRequest& request, OutcomeHandler<void> handler)
{
    const auto* organisation
        = m_configuration ? m_configuration->organisation(request.organisation) : nullptr;
    if (request.organisation.text.empty() || !organisation)
        return handler({});
    const auto now = util::BootClock::now();
    m_quota.noteAsked(organisation->name, now);
    const auto decision = m_quota.decide(*organisation, m_nodes.size(), now);
    if (decision.admitted || decision.reason != QuotaReason::BeyondEvenPart)
        return conclude(decision, handler);
    m_waiting.push_back({ organisation->name, std::move(handler), now + askTimeout });
    report({ organisation->name });
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

// Decides again on the requests of an organisation whose use elsewhere has become known, or will not in time.
void QuotaAdmission::settleWaiting(const std::string& organisation)
{
    const auto first = std::stable_partition(m_waiting.begin(), m_waiting.end(),
        [&](const Waiting& waiting) { return waiting.organisation.text != organisation; });
    const std::vector<Waiting> settled(
        std::make_move_iterator(first), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(first, m_waiting.end());
    const auto* declared = m_configuration->organisation({ organisation });
    for (const auto& waiting : settled) {
        if (!declared)
            waiting.handler({});
        else
            conclude(m_quota.decide(*declared, m_nodes.size(), util::BootClock::now()), waiting.handler);
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
        settleWaiting(organisation);
}

void QuotaAdmission::receive(
    const Endpoint& source, const InstanceName& from, const QuotaReportMessage& message)
{
    QuotaElsewhereMessage answer;
    for (const auto& use : message.uses)
        answer.elsewhere.push_back(m_totals.note(from, use, util::BootClock::now()));
    m_parts.socket.send(source, std::move(answer));
}

void QuotaAdmission::receive(const InstanceName& from, const QuotaElsewhereMessage& message)
{
    m_unanswered.erase(from);
    for (const auto& elsewhere : message.elsewhere)
        m_quota.noteElsewhere(elsewhere, util::BootClock::now());
    for (const auto& elsewhere : message.elsewhere)
        settleWaiting(elsewhere.organisation);
}

void QuotaAdmission::noteSilence(util::Time now)
{
    std::erase_if(m_unanswered, [this, now](const auto& item) {
        if (now - item.second < answerTimeout)
            return false;
        m_silent[item.first] = now + silentFor;
        m_keepers.clear();
        m_parts.log.write(LogLevel::Warning, "dependency",
            { { "name", "quota-keeper" }, { "event", "lost" }, { "instance", item.first.text } });
        return true;
    });
    const auto ended = std::erase_if(m_silent, [now](const auto& item) { return now >= item.second; });
    if (ended > 0)
        m_keepers.clear();
}

void QuotaAdmission::report(const std::set<OrganisationName>& urgent)
{
    const auto now = util::BootClock::now();
    std::map<InstanceName, QuotaReportMessage> reports;
    std::vector<std::string> kept;
    for (auto& use : m_quota.takeReports(now, urgent)) {
        const auto keeper = keeperOf(use.organisation);
        if (keeper == m_parts.self) {
            m_quota.noteElsewhere(m_totals.note(m_parts.self, use, now), now);
            kept.push_back(use.organisation);
        } else if (!keeper.text.empty()) {
            reports[keeper].uses.push_back(std::move(use));
        }
    }
    for (auto& [keeper, report] : reports) {
        const auto* instance = m_directory->instance(keeper);
        if (!instance)
            continue;
        m_unanswered.try_emplace(keeper, now);
        m_parts.socket.send(instance->peerAddress, std::move(report));
    }
    for (const auto& organisation : kept)
        settleWaiting(organisation);
}

void QuotaAdmission::tick()
{
    const auto now = util::BootClock::now();
    noteSilence(now);
    expireWaiting(now);
    report({});
    if (now < m_nextForget)
        return;
    m_nextForget = now + forgetInterval;
    m_quota.forget(now);
    m_totals.forget(now);
}

} // namespace tarragonhaven
