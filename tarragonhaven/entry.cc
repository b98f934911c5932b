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

    constexpr const char* idempotencyKeyField = "Idempotency-Key";
    // Header fields with this prefix are written by nodes only and are removed from callers' requests.
    constexpr std::string_view reservedFieldPrefix = "Tarragonhaven-";
    constexpr util::Duration notReadyRetryAfter = std::chrono::seconds(2);
    constexpr std::size_t maximumIdempotencyKeyLength = 200;

    Refusal refusal(RefusalReason reason, util::Duration retryAfter = {})
    {
        return { reason, RunState::NotRun, retryAfter, "" };
    }

    std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

    constexpr std::size_t maximumRequestIdLength = 200;

} // namespace

Entry::Entry(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_spillOver(m_dependencies.dataCentre, m_dependencies.options.spill)
    , m_requestIds(m_dependencies.self.text, m_dependencies.incarnation)
    , m_random(m_dependencies.incarnation)
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
            m_services.emplace(service.name, ServiceHealth(service, m_dependencies.options.ejection));
    }
    std::erase_if(m_services, [&declared](const auto& item) { return !declared.contains(item.first); });
    markLeaving(m_leaving);
}

const CallerLimits& Entry::callerLimits() const
{
    static const CallerLimits defaultLimits;
    return m_configuration ? m_configuration->index().callerLimits : defaultLimits;
}

void Entry::markLeaving(const std::set<InstanceName>& instances)
{
    m_leaving = instances;
    for (auto& [name, service] : m_services)
        service.markLeaving(instances);
    for (const auto& instance : instances)
        m_dependencies.peers.closeIdle(instance);
}

void Entry::tick()
{
    const auto now = util::BootClock::now();
    recordOutstandingAges(now);
    m_notices.removeExpired(now);
    for (const auto& dataCentre : m_evacuationReports.takeExpired(now))
        m_dependencies.log.write(LogLevel::Info, "evacuation",
            { { "event", "report-expired" }, { "dataCentre", dataCentre.text } });
    for (auto& [name, service] : m_services) {
        if (service.upToDate())
            continue;
        for (const auto& decision : service.evaluate(now))
            logEjection(name, decision);
    }
    if (m_dependencies.options.spill.enabled)
        updateSpillOver(now);
}

void Entry::logEjection(const ServiceName& service, const EjectionDecision& decision)
{
    m_dependencies.metrics.recordEjectionEvent(decision.event);
    m_dependencies.log.write(LogLevel::Warning, "ejection",
        { { "service", service.text }, { "target", decision.target.text },
            { "event", toString(decision.event) }, { "score", decision.score },
            { "slotsInUse", decision.servingSlots }, { "floorSlots", decision.floorSlots } });
}

void Entry::logRefusal(
    const std::string& requestId, const OrganisationName& organisation, const Refusal& refusal)
{
    m_dependencies.metrics.recordRefusal(organisation, refusal);
    m_dependencies.log.write(LogLevel::Warning, "refusal",
        { { "request", requestId }, { "organisation", organisation.text },
            { "reason", toString(refusal.reason) }, { "run", toString(refusal.run) },
            { "detail", refusal.detail } });
}

void Entry::logCallerDisconnected(const std::string& requestId)
{
    m_dependencies.log.write(LogLevel::Info, "caller-gone", { { "request", requestId } });
}

std::string Entry::requestIdOf(const RequestHead& head)
{
    const auto& field = m_dependencies.options.headerNames.requestId;
    const auto id = field.empty() ? std::string_view {} : fieldValue(head.fields, field);
    return id.empty() || id.size() > maximumRequestIdLength ? m_requestIds.next() : std::string(id);
}

tl::expected<const Route*, Refusal> Entry::findRoute(const RequestHead& head) const
{
    const auto path = pathOf(head.target);
    if (const auto* route = m_configuration->prefixRoutes().find(head.host, path))
        return route;
    if (const auto* route = m_configuration->routes().find(head.method, path))
        return route;
    const bool pathKnown = m_configuration->routes().hasPath(path);
    return tl::unexpected(refusal(pathKnown ? RefusalReason::MethodNotRouted : RefusalReason::RouteUnknown));
}

const Route* Entry::routeOf(const RequestHead& head) const
{
    const auto route = m_configuration ? findRoute(head) : nullptr;
    return route ? *route : nullptr;
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

// Removes the header fields that only nodes may set, so that callers cannot forge them.
void Entry::dropReservedFields(RequestHead& head) const
{
    const auto& headerNames = m_dependencies.options.headerNames;
    const std::array<std::string_view, 4> reservedNames { headerNames.deadline, headerNames.expectedTarget,
        headerNames.organisation, headerNames.callerService };
    std::erase_if(head.fields, [&reservedNames](const HeaderField& field) {
        const auto prefix = std::string_view(field.name).substr(0, reservedFieldPrefix.size());
        return sameFieldName(prefix, reservedFieldPrefix)
            || std::any_of(reservedNames.begin(), reservedNames.end(),
                [&field](std::string_view name) { return sameFieldName(field.name, name); });
    });
}

util::Time Entry::deadlineOf(const RequestHead& head, const Route& route) const
{
    const auto now = util::BootClock::now();
    std::int64_t milliseconds = 0;
    const auto& name = m_dependencies.options.headerNames.deadline;
    const auto value = name.empty() ? std::string_view {} : fieldValue(head.fields, name);
    if (!absl::SimpleAtoi(util::toAbsl(value), &milliseconds) || milliseconds < 0)
        return now + route.deadline;
    return now + std::min<util::Duration>(route.deadline, std::chrono::milliseconds(milliseconds));
}

int Entry::rankOf(const Route& route, const Organisation* organisation) const
{
    if (!organisation && m_dependencies.options.prioritizeInternalRequests)
        return internalRequestRank;
    return organisation && organisation->priority ? *organisation->priority : route.priority;
}

tl::expected<AcceptedRequest, Refusal> Entry::accept(RequestHead head)
{
    if (m_stopping && !m_dependencies.options.serveWhileStopping)
        return tl::unexpected(refusal(RefusalReason::Stopping, notReadyRetryAfter));
    if (!m_ready || !m_configuration)
        return tl::unexpected(refusal(RefusalReason::NotReady, notReadyRetryAfter));
    if (containsKey(head.target))
        return tl::unexpected(refusal(RefusalReason::KeyInQuery));
    AcceptedRequest accepted;
    const auto key = extractKey(head, m_dependencies.options.headerNames.keyScheme);
    const auto route = findRoute(head);
    if (!route)
        return tl::unexpected(route.error());
    const auto organisation = findOrganisation(**route, key, accepted.keyDigest);
    if (!organisation)
        return tl::unexpected(organisation.error());
    accepted.route = **route;
    accepted.idempotencyKey = std::string(fieldValue(head.fields, idempotencyKeyField));
    accepted.context.organisation = *organisation ? (*organisation)->name : OrganisationName {};
    accepted.context.service = m_splitter.selectService(accepted.route);
    accepted.regions = RegionRestriction(
        accepted.route.allowedRegions, *organisation ? (*organisation)->allowedRegions : std::nullopt);
    if (const auto refused = regionRefusal(accepted))
        return tl::unexpected(*refused);
    accepted.context.idempotent = accepted.route.idempotent;
    accepted.context.deadline = deadlineOf(head, accepted.route);
    accepted.context.rank = rankOf(accepted.route, *organisation);
    const auto queueTimeout = util::fromSeconds(
        m_dependencies.options.queueTimeoutShareOfObjective * util::toSeconds(accepted.route.objective));
    // A request that a target makes while it runs another request gets no queue timeout: if the inner request
    // is refused, the whole outer request is lost.
    const bool internal = accepted.context.rank == internalRequestRank;
    if (queueTimeout > util::Duration {} && !internal)
        accepted.context.queueDeadline = util::BootClock::now() + queueTimeout;
    accepted.context.deadlineCoversBody = m_dependencies.options.deadlineCoversBody;
    accepted.context.callerService = m_dependencies.options.callerService;
    dropReservedFields(head);
    accepted.head = std::move(head);
    if (accepted.idempotencyKey.size() > maximumIdempotencyKeyLength)
        return tl::unexpected(refusal(RefusalReason::IdempotencyKeyMalformed));
    if (accepted.route.idempotencyKeyRule == IdempotencyKeyRule::Required && accepted.idempotencyKey.empty())
        return tl::unexpected(refusal(RefusalReason::IdempotencyKeyMissing));
    return accepted;
}

std::string Entry::digestOf(const PresentedKey& key) { return util::sha256Hex(key.text); }

bool Entry::isStillAccepted(const std::string& keyDigest) const
{
    if (keyDigest.empty() || !m_dependencies.options.abortResponsesOfRevokedKeys)
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
    if (m_dependencies.options.preferOwnInstance && target.instance == m_dependencies.self)
        return 0;
    return target.dataCentre == m_dependencies.dataCentre ? 1 : remoteDistance;
}

bool Entry::isAllowed(const Target& target, const RegionRestriction& regions) const
{
    return regions.allows(target.dataCentre, m_dependencies.options.regions);
}

std::optional<Refusal> Entry::regionRefusal(const AcceptedRequest& accepted) const
{
    if (!accepted.regions.restricts() || !m_directory)
        return std::nullopt;
    const auto& service = accepted.context.service;
    const auto& targets = m_directory->targetsOf(service);
    const bool any = std::any_of(targets.begin(), targets.end(),
        [this, &accepted](const Target& target) { return isAllowed(target, accepted.regions); });
    if (any)
        return std::nullopt;
    return Refusal { RefusalReason::RegionNotAllowed, RunState::NotRun, notReadyRetryAfter,
        absl::StrCat("none of the ", targets.size(), " targets of ", service.text,
            " is known to be in an allowed region: ", accepted.regions.toString()) };
}

TargetChoice Entry::choose(
    const ServiceName& service, ChoiceRequest request, const RegionRestriction& regions)
{
    const auto* health = this->health(service);
    if (!health)
        return { nullptr, {}, "service not declared" };
    const auto now = util::BootClock::now();
    auto views = viewsOf(*health, now);
    std::erase_if(views, [&](const TargetView& view) { return !isAllowed(*view.target, regions); });
    const auto distance = [this](const Target& target) { return distanceTo(target); };
    std::erase_if(m_avoided, [now](const auto& item) { return item.second <= now; });
    if (m_avoided.empty())
        return chooseTarget(views, request, distance, m_random);
    auto restricted = request;
    for (const auto& [target, until] : m_avoided)
        restricted.excluded.insert(target);
    const auto choice = chooseTarget(views, restricted, distance, m_random);
    return choice.target ? choice : chooseTarget(views, request, distance, m_random);
}

std::vector<TargetView> Entry::viewsOf(const ServiceHealth& health, util::Time now) const
{
    auto views = health.views(now);
    if (!m_notices.empty()) {
        for (auto& view : views)
            view.leaving = view.leaving || m_notices.find(*view.target).leaving;
    }
    if (!m_evacuationReports.empty()) {
        for (auto& view : views)
            view.leaving = view.leaving
                || m_evacuationReports.isEvacuated(view.target->dataCentre, m_directory->asOf(), now);
    }
    return views;
}

void Entry::avoid(const TargetName& target, util::Duration time)
{
    auto& until = m_avoided[target];
    until = std::max(until, util::BootClock::now() + time);
}

void Entry::recordReport(const TargetName& target, const TargetReport& report)
{
    const auto now = util::BootClock::now();
    m_notices.record(target, report, now);
    const auto service = m_serviceOfTarget.find(target);
    if (service == m_serviceOfTarget.end())
        return;
    if (report.evacuatedAsOf)
        recordEvacuation(service->second, target, *report.evacuatedAsOf, now);
    if (auto* health = this->health(service->second))
        health->recordReport(target, report, now);
}

void Entry::recordEvacuation(
    const ServiceName& service, const TargetName& name, const StorePosition& asOf, util::Time now)
{
    const auto& targets = m_directory->targetsOf(service);
    const auto target = std::find_if(
        targets.begin(), targets.end(), [&name](const Target& item) { return item.name == name; });
    if (target == targets.end() || asOf <= m_directory->asOf()
        || !m_evacuationReports.record(target->dataCentre, asOf, now))
        return;
    m_dependencies.log.write(LogLevel::Warning, "evacuation",
        { { "event", "reported" }, { "dataCentre", target->dataCentre.text }, { "target", name.text },
            { "epoch", asOf.epoch }, { "asOf", asOf.revision },
            { "directoryAsOf", m_directory->asOf().revision } });
}

std::uint64_t Entry::addOutstanding(const ServiceName& service, const TargetName& target)
{
    if (auto* health = this->health(service))
        health->recordSent(target);
    m_outstanding.emplace(
        ++m_lastOutstandingNumber, OutstandingRequest { service, target, util::BootClock::now(), {} });
    return m_lastOutstandingNumber;
}

void Entry::removeOutstanding(std::uint64_t number)
{
    const auto outstanding = m_outstanding.extract(number);
    if (outstanding.empty())
        return;
    if (auto* health = this->health(outstanding.mapped().service))
        health->recordCompleted(outstanding.mapped().target);
}

void Entry::recordOutstandingAges(util::Time now)
{
    for (auto& [number, outstanding] : m_outstanding) {
        const auto age = now - outstanding.since;
        if (auto* health = this->health(outstanding.service))
            health->recordWaiting(outstanding.target, age, outstanding.recordedAge);
        outstanding.recordedAge = age;
    }
}

} // namespace tarragonhaven
