#include "tarragonhaven/entry.h"

#include "tarragonhaven/http_fields.h"
#include "util/sha256.h"
#include "util/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace tarragonhaven {

namespace {

    constexpr const char* identityField = "Idempotency-Key";
    // Fields that the system itself writes are not taken from callers.
    constexpr std::string_view ownFieldPrefix = "Tarragonhaven-";
    constexpr util::Duration notReadyRetryAfter = std::chrono::seconds(2);
    constexpr std::size_t maximumIdentityLength = 200;

    Refusal refusal(RefusalReason reason, util::Duration retryAfter = {})
    {
        return { reason, RunState::NotRun, retryAfter, "" };
    }

    std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

    constexpr std::size_t longestRequestId = 200;

} // namespace

Entry::Entry(Parts parts)
    : m_parts(std::move(parts))
    , m_ids(m_parts.self.text, m_parts.incarnation)
    , m_random(m_parts.incarnation)
{
}

void Entry::apply(ConfigurationPointer configuration, DirectoryPointer directory)
{
    const auto now = util::BootClock::now();
    if (configuration != m_configuration)
        m_declarationsSince = now;
    if (directory != m_directory)
        m_directorySince = now;
    m_configuration = std::move(configuration);
    m_directory = std::move(directory);
    if (m_configuration && m_directory)
        updateServices();
}

void Entry::updateServices()
{
    std::set<ServiceName> declared;
    m_serviceOfTarget.clear();
    for (auto service : m_configuration->index().services) {
        declared.insert(service.name);
        service.targets = m_directory->targetsOf(service.name);
        for (const auto& target : service.targets)
            m_serviceOfTarget.emplace(target.name, service.name);
        const auto found = m_services.find(service.name);
        if (found != m_services.end())
            found->second.update(service);
        else
            m_services.emplace(service.name, ServiceHealth(service, m_parts.options.standing));
    }
    std::erase_if(m_services, [&declared](const auto& item) { return !declared.contains(item.first); });
    markLeaving(m_leaving);
}

const CallerLimits& Entry::callerLimits() const
{
    static const CallerLimits unknown;
    return m_configuration ? m_configuration->index().callerLimits : unknown;
}

void Entry::markLeaving(const std::set<InstanceName>& instances)
{
    m_leaving = instances;
    for (auto& [name, service] : m_services)
        service.markLeaving(instances);
    for (const auto& instance : instances)
        m_parts.peers.closeIdle(instance);
}

void Entry::tick()
{
    const auto now = util::BootClock::now();
    noteWaitingAges(now);
    for (auto& [name, service] : m_services) {
        if (service.quiet())
            continue;
        for (const auto& decision : service.evaluate(now))
            logEjection(name, decision);
    }
}

void Entry::logEjection(const ServiceName& service, const EjectionDecision& decision)
{
    m_parts.metrics.noteEjection(decision.event);
    m_parts.log.write(LogLevel::Warning, "ejection",
        { { "service", service.text }, { "target", decision.target.text }, { "event", name(decision.event) },
            { "score", decision.score }, { "slotsInUse", decision.slotsInUse },
            { "floorSlots", decision.floorSlots } });
}

void Entry::logRefusal(
    const std::string& requestId, const OrganisationName& organisation, const Refusal& refusal)
{
    m_parts.metrics.noteRefusal(organisation, refusal);
    m_parts.log.write(LogLevel::Warning, "refusal",
        { { "request", requestId }, { "organisation", organisation.text }, { "reason", name(refusal.reason) },
            { "run", name(refusal.run) }, { "detail", refusal.detail } });
}

void Entry::logCallerGone(const std::string& requestId)
{
    m_parts.log.write(LogLevel::Info, "caller-gone", { { "request", requestId } });
}

std::string Entry::requestIdOf(const RequestHead& head)
{
    const auto& field = m_parts.options.dialect.requestId;
    const auto id = field.empty() ? std::string_view {} : fieldValue(head.fields, field);
    return id.empty() || id.size() > longestRequestId ? m_ids.next() : std::string(id);
}

tl::expected<const Route*, Refusal> Entry::findRoute(const RequestHead& head) const
{
    const auto path = pathOf(head.target);
    if (const auto* route = m_configuration->prefixRoutes().find(head.host, path))
        return route;
    if (const auto* route = m_configuration->routes().find(head.method, path))
        return route;
    const bool known = m_configuration->routes().knowsPath(path);
    return tl::unexpected(refusal(known ? RefusalReason::MethodNotRouted : RefusalReason::RouteUnknown));
}

tl::expected<const Organisation*, Refusal> Entry::findOrganisation(
    const Route& route, const std::optional<PresentedKey>& key, std::string& digest) const
{
    if (!key)
        return route.openToAll ? tl::expected<const Organisation*, Refusal>(nullptr)
                               : tl::unexpected(refusal(RefusalReason::KeyMissing));
    if (!m_keysFresh)
        return tl::unexpected(refusal(RefusalReason::KeysMayBeStale, notReadyRetryAfter));
    digest = digestOf(*key);
    const auto* organisation = m_configuration->organisationForKey(digest, util::wallSeconds());
    if (!organisation)
        return tl::unexpected(refusal(RefusalReason::KeyNotAccepted));
    return organisation;
}

// Fields that the system itself writes are not taken from callers.
void Entry::dropOwnFields(RequestHead& head) const
{
    const auto& dialect = m_parts.options.dialect;
    const std::array<std::string_view, 4> written { dialect.deadline, dialect.expectedTarget,
        dialect.organisation, dialect.callerService };
    std::erase_if(head.fields, [&written](const HeaderField& field) {
        const auto prefix = std::string_view(field.name).substr(0, ownFieldPrefix.size());
        return sameFieldName(prefix, ownFieldPrefix)
            || std::any_of(written.begin(), written.end(),
                [&field](std::string_view name) { return sameFieldName(field.name, name); });
    });
}

util::Time Entry::deadlineOf(const RequestHead& head, const Route& route) const
{
    const auto now = util::BootClock::now();
    std::int64_t milliseconds = 0;
    const auto& name = m_parts.options.dialect.deadline;
    const auto value = name.empty() ? std::string_view {} : fieldValue(head.fields, name);
    if (!absl::SimpleAtoi(util::toAbsl(value), &milliseconds) || milliseconds < 0)
        return now + route.deadline;
    return now + std::min<util::Duration>(route.deadline, std::chrono::milliseconds(milliseconds));
}

int Entry::rankOf(const Route& route, const Organisation* organisation) const
{
    if (!organisation && m_parts.options.internalFirst)
        return rankOfTargets;
    return organisation && organisation->priority ? *organisation->priority : route.priority;
}

tl::expected<AcceptedRequest, Refusal> Entry::accept(RequestHead head)
{
    if (m_stopping && !m_parts.options.serveWhileStopping)
        return tl::unexpected(refusal(RefusalReason::Stopping, notReadyRetryAfter));
    if (!m_ready || !m_configuration)
        return tl::unexpected(refusal(RefusalReason::NotReady, notReadyRetryAfter));
    if (containsKey(head.target))
        return tl::unexpected(refusal(RefusalReason::KeyInQuery));
    AcceptedRequest accepted;
    const auto key = extractKey(head, m_parts.options.dialect.keyScheme);
    const auto route = findRoute(head);
    if (!route)
        return tl::unexpected(route.error());
    const auto organisation = findOrganisation(**route, key, accepted.keyDigest);
    if (!organisation)
        return tl::unexpected(organisation.error());
    accepted.route = **route;
    accepted.identity = std::string(fieldValue(head.fields, identityField));
    accepted.context.organisation = *organisation ? (*organisation)->name : OrganisationName {};
    accepted.context.service = m_splitter.next(accepted.route);
    accepted.context.idempotent = accepted.route.idempotent;
    accepted.context.deadline = deadlineOf(head, accepted.route);
    accepted.context.rank = rankOf(accepted.route, *organisation);
    const auto patience = util::fromSeconds(
        m_parts.options.queueShareOfObjective * util::toSeconds(accepted.route.objective));
    // What a target calls while it runs a request is waited for: without it the whole request is lost.
    const bool internal = accepted.context.rank == rankOfTargets;
    if (patience > util::Duration {} && !internal)
        accepted.context.queueUntil = util::BootClock::now() + patience;
    accepted.context.deadlineCoversBody = m_parts.options.deadlineCoversBody;
    accepted.context.callerService = m_parts.options.callerService;
    dropOwnFields(head);
    accepted.head = std::move(head);
    if (accepted.identity.size() > maximumIdentityLength)
        return tl::unexpected(refusal(RefusalReason::IdentityMalformed));
    if (accepted.route.identity == IdentityRule::Required && accepted.identity.empty())
        return tl::unexpected(refusal(RefusalReason::IdentityMissing));
    return accepted;
}

std::string Entry::digestOf(const PresentedKey& key) { return util::sha256Hex(key.text); }

bool Entry::stillAccepted(const std::string& keyDigest) const
{
    if (keyDigest.empty() || !m_parts.options.endAnswersOfWithdrawnKeys)
        return true;
    return m_keysFresh && m_configuration->organisationForKey(keyDigest, util::wallSeconds()) != nullptr;
}

ServiceHealth* Entry::health(const ServiceName& service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

int Entry::distanceTo(const Target& target) const
{
    if (m_parts.options.preferOwnInstance && target.instance == m_parts.self)
        return 0;
    return target.dataCentre == m_parts.dataCentre ? 1 : 2;
}

TargetChoice Entry::choose(const ServiceName& service, ChoiceRequest request)
{
    const auto* health = this->health(service);
    if (!health)
        return { nullptr, {}, "service not declared" };
    const auto now = util::BootClock::now();
    const auto views = health->views(now);
    const auto distance = [this](const Target& target) { return distanceTo(target); };
    std::erase_if(m_avoided, [now](const auto& item) { return item.second <= now; });
    if (m_avoided.empty())
        return chooseTarget(views, request, distance, m_random);
    auto narrow = request;
    for (const auto& [target, until] : m_avoided)
        narrow.excluded.insert(target);
    const auto choice = chooseTarget(views, narrow, distance, m_random);
    return choice.target ? choice : chooseTarget(views, request, distance, m_random);
}

void Entry::avoid(const TargetName& target, util::Duration time)
{
    auto& until = m_avoided[target];
    until = std::max(until, util::BootClock::now() + time);
}

void Entry::noteReport(const TargetName& target, const TargetReport& report)
{
    const auto service = m_serviceOfTarget.find(target);
    if (service == m_serviceOfTarget.end())
        return;
    if (auto* health = this->health(service->second))
        health->noteReport(target, report, util::BootClock::now());
}

std::uint64_t Entry::beginWaiting(const ServiceName& service, const TargetName& target)
{
    if (auto* health = this->health(service))
        health->noteSent(target);
    m_waiting.emplace(++m_lastWaiting, WaitingRequest { service, target, util::BootClock::now(), {} });
    return m_lastWaiting;
}

void Entry::endWaiting(std::uint64_t number)
{
    const auto waiting = m_waiting.extract(number);
    if (waiting.empty())
        return;
    if (auto* health = this->health(waiting.mapped().service))
        health->noteReturned(waiting.mapped().target);
}

void Entry::noteWaitingAges(util::Time now)
{
    for (auto& [number, waiting] : m_waiting) {
        const auto age = now - waiting.since;
        if (auto* health = this->health(waiting.service))
            health->noteWaiting(waiting.target, age, waiting.notedAge);
        waiting.notedAge = age;
    }
}

} // namespace tarragonhaven
