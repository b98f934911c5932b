#include "tarragonhaven/sidecar_traffic.h"

#include "tarragonhaven/directory_diff.h"
#include "tarragonhaven/rendezvous.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <type_traits>

namespace tarragonhaven {

namespace {

    constexpr util::Duration tickInterval = std::chrono::milliseconds(20);
    constexpr unsigned long ticksPerEvaluation = 5;
    constexpr std::size_t bufferedResponseBytes = 1024 * 1024;
    constexpr int nonQueuingAttempts = 5;
    constexpr int remoteNonQueuingAttempts = 1;
    constexpr double spilloverLoad = 0.7;
    // Queuing in another data centre has to be a good deal shorter than in the own one, since the links
    // between them are dear and what is known of remote queues is older.
    constexpr double remoteCostFactor = 1.5;
    constexpr int maximumFullQueues = 5;
    // The queue timeout as a multiple of the latency objective. Above 1, because a response that arrives
    // after the objective is of less use, but still of some.
    constexpr double queueTimeoutShareOfObjective = 1.5;
    // With the queue timeout above, a request is queued if its response is expected within about the
    // objective. A longer queue makes nearly all responses of an overloaded service late, and serves no more.
    constexpr double predictedTimeShare = 0.65;
    // A second response may still arrive within the objective.
    constexpr double hedgeShareOfObjective = 0.7;
    constexpr double noSuccessPenalty = 0.5;
    constexpr util::Duration unresponsiveTimeout = std::chrono::seconds(3);
    constexpr util::Duration connectTimeout = std::chrono::milliseconds(500);
    // Well above a round trip and the exchange of HelloFrames with a node in use. A request that waits for a
    // dead or frozen node for the whole connect timeout, and for the next ones again, misses its objective.
    constexpr util::Duration connectWait = std::chrono::milliseconds(120);
    constexpr util::Duration maximumTargetIdleTime = std::chrono::seconds(8);
    // How long callers are served after a stop begins. Callers notice the stop after two failed readiness
    // checks one second apart.
    constexpr util::Duration servingTimeAfterStop = std::chrono::milliseconds(2600);
    // The number of nodes that report a target which has ceased to serve to its guard. Several, because a
    // part of them may be cut off from the store or the guard.
    constexpr std::size_t targetStateReporters = 8;
    // The number of nodes that reply to the report of a crash if they know more of the suspects.
    constexpr std::size_t suspectRepliers = 8;
    // The number of nodes that a node asks for suspects after its start.
    constexpr std::size_t suspectQueries = 4;
    // The part of the grace period that is kept for closing connections.
    constexpr util::Duration stopMargin = std::chrono::milliseconds(400);

    EjectionOptions ejectionOptions()
    {
        EjectionOptions options;
        options.initialEjectionDuration = std::chrono::milliseconds(1500);
        options.maximumEjectionDuration = std::chrono::seconds(6);
        options.backoffResetAfter = std::chrono::seconds(30);
        options.rampDuration = std::chrono::seconds(2);
        return options;
    }

    EntryOptions entryOptions(const SidecarSettings& settings, const HeaderNames& headerNames)
    {
        EntryOptions options;
        options.headerNames = headerNames;
        options.callerService = settings.service;
        options.bufferedResponseBytes = bufferedResponseBytes;
        options.nonQueuingAttempts = nonQueuingAttempts;
        options.remoteNonQueuingAttempts = remoteNonQueuingAttempts;
        options.remoteCostFactor = remoteCostFactor;
        options.maximumFullQueues = maximumFullQueues;
        options.spilloverLoad = spilloverLoad;
        options.queueTimeoutShareOfObjective = queueTimeoutShareOfObjective;
        options.hedgeShareOfObjective = hedgeShareOfObjective;
        options.noSuccessPenalty = noSuccessPenalty;
        options.bypassBreakerAsLastResort = true;
        options.preferOwnInstance = true;
        options.abortResponsesOfRevokedKeys = false;
        options.deadlineCoversBody = true;
        options.serveWhileStopping = true;
        options.prioritizeInternalRequests = true;
        options.ejection = ejectionOptions();
        options.regions = settings.regions;
        options.spill = settings.spill;
        return options;
    }

    std::vector<std::string> nodeNames(const Directory& directory)
    {
        std::vector<std::string> names;
        for (const auto& [name, instance] : directory.instances())
            names.push_back(name.text);
        return names;
    }

    // Returns whether a node is among the first `count` in the rendezvous order of all nodes for the key.
    bool isAmongFirst(std::size_t count, const InstanceName& node, const std::string& key,
        const std::vector<std::string>& nodes)
    {
        const auto order = rendezvousOrder(key, nodes);
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), count));
        return std::find(order.begin(), end, node.text) != end;
    }

} // namespace

SidecarTraffic::SidecarTraffic(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_thread(tickInterval)
    , m_guard(m_thread.io(), m_dependencies.settings.instance, m_dependencies.localHello.incarnation,
          guardOptions())
    , m_peers(m_thread.io(), m_dependencies.localHello, { connectTimeout, connectWait })
    , m_socket(m_thread.io(), m_dependencies.settings.fleet, m_dependencies.settings.instance,
          m_dependencies.localHello.incarnation)
    , m_admission({ m_thread.io(), m_socket, m_dependencies.log, m_dependencies.settings.instance,
          m_dependencies.settings.policy })
    , m_entry({ m_thread.io(), m_guard, m_peers, m_admission, m_dependencies.log, m_metrics,
          m_dependencies.settings.instance, m_dependencies.settings.dataCentre,
          m_dependencies.localHello.incarnation,
          entryOptions(m_dependencies.settings, m_dependencies.headerNames), &m_admission })
    , m_evacuations(m_dependencies.settings.instance)
    , m_callers(m_thread.io(), m_entry, m_dependencies.connections.callers,
          m_dependencies.state.connections.callers,
          CallerSessionOptions { m_dependencies.settings.pipeline, m_dependencies.settings.progress,
              m_dependencies.settings.heads, m_dependencies.memoryBoundBytes })
    , m_peerSessions(m_thread.io(), *this, m_dependencies.localHello, m_dependencies.connections.peers,
          m_dependencies.state.connections.peers, m_dependencies.log)
    , m_status(m_thread.io(), [this] { return sources(); })
{
    m_dependencies.events.setWakeHandler([this] {
        boost::asio::post(m_thread.io(), [this] {
            m_dependencies.events.drain([this](DiscoveryEvent event) { handleEvent(std::move(event)); });
        });
    });
}

GuardOptions SidecarTraffic::guardOptions()
{
    GuardOptions options;
    options.headerNames = m_dependencies.headerNames;
    options.coldPace = m_dependencies.settings.policy.coldPace;
    options.breaker.emplace();
    options.refusePredictedTimeouts = true;
    options.predictedTimeShare = predictedTimeShare;
    options.allowUnframedResponses = true;
    options.unresponsiveTimeout = unresponsiveTimeout;
    options.connectTimeout = connectTimeout;
    options.maximumIdleTime = maximumTargetIdleTime;
    options.onAttempt = [this](const AttemptRecord& attempt) {
        m_metrics.recordAttempt(attempt);
        logAttempt(attempt);
    };
    return options;
}

SidecarTraffic::~SidecarTraffic() { stop(); }

std::string SidecarTraffic::open()
{
    auto error = m_callers.open(m_dependencies.settings.callerAddress);
    if (error.empty())
        error = m_peerSessions.open(m_dependencies.settings.peerAddress);
    return error.empty() ? m_socket.open(m_dependencies.settings.peerAddress) : error;
}

void SidecarTraffic::start()
{
    m_thread.start(
        [this] {
            m_socket.receive([this](const Endpoint& source,
                                 const ControlEnvelope& envelope) { handleDatagram(source, envelope); },
                [] {});
        },
        [this] { onTick(); });
}

void SidecarTraffic::stop()
{
    m_thread.stop([this] {
        m_callers.closeAll();
        m_admission.abandonWaiting();
    });
}

ValueFrame SidecarTraffic::value(const std::string& name) { return { name, false, 0, "" }; }

void SidecarTraffic::peerDisconnected(const std::string& peer, const std::string& why)
{
    m_dependencies.log.write(
        LogLevel::Debug, "peer-link", { { "event", "ended" }, { "peer", peer }, { "reason", why } });
}

void SidecarTraffic::handleEvent(DiscoveryEvent event)
{
    if (auto* accepted = std::get_if<DeclarationsAccepted>(&event)) {
        m_configuration = std::move(accepted->configuration);
        logUnknownRegions();
    }
    if (auto* changed = std::get_if<DirectoryChanged>(&event)) {
        const auto before = std::exchange(m_directory, std::move(changed->directory));
        if (before)
            sendTargetStates(*before, *m_directory);
        m_evacuations.apply(m_directory, util::BootClock::now());
    }
    applyConfigurationAndDirectory();
}

void SidecarTraffic::logUnknownRegions()
{
    auto names = nlohmann::ordered_json::array();
    for (const auto& region : unknownRegions(*m_configuration, m_dependencies.settings.regions))
        names.push_back(region.text);
    if (!names.empty())
        m_dependencies.log.write(LogLevel::Warning, "configuration",
            { { "event", "unknown-regions" }, { "revision", m_configuration->revision() },
                { "regions", names }, { "dataCentres", m_dependencies.settings.regions.size() } });
}

void SidecarTraffic::applyConfigurationAndDirectory()
{
    if (m_directory) {
        m_guard.setColdStart(coldStartPolicies());
        m_guard.apply(*m_directory);
        querySuspects();
    }
    m_admission.apply(m_configuration, m_directory);
    m_entry.apply(m_configuration, m_directory);
    const bool ready = m_configuration && m_directory;
    m_entry.setReady(ready);
    m_dependencies.state.ready.store(ready && !m_stopping);
}

// Only a few nodes report each change, chosen by rendezvous hashing, since the others have read the same.
void SidecarTraffic::sendTargetStates(const Directory& before, const Directory& after)
{
    const auto changes = changedTargetStates(before, after);
    if (changes.empty())
        return;
    const auto nodes = nodeNames(after);
    for (const auto& [target, serving, guardAddress] : changes) {
        if (!isAmongFirst(targetStateReporters, m_dependencies.settings.instance, target.name.text, nodes))
            continue;
        if (target.instance != m_dependencies.settings.instance)
            m_socket.send(guardAddress,
                TargetStateMessage { target.name.text, target.startTimeMs, serving, after.asOf() });
    }
}

void SidecarTraffic::handleDatagram(const Endpoint& source, const ControlEnvelope& envelope)
{
    if (const auto* report = std::get_if<QuotaReportMessage>(&envelope.message))
        m_admission.receive(source, envelope.from, *report);
    if (const auto* remoteUsage = std::get_if<RemoteQuotaUsageMessage>(&envelope.message))
        m_admission.receive(envelope.from, *remoteUsage);
    if (const auto* query = std::get_if<QuotaQueryMessage>(&envelope.message))
        m_admission.receive(source, *query);
    if (const auto* state = std::get_if<TargetStateMessage>(&envelope.message))
        recordPeerState(envelope.from, *state);
    if (const auto* evacuation = std::get_if<EvacuationMessage>(&envelope.message))
        recordPeerEvacuation(envelope.from, *evacuation);
    if (const auto* targetReport = std::get_if<TargetReportMessage>(&envelope.message))
        m_entry.recordReport({ targetReport->target }, targetReport->report);
    handleSuspects(source, envelope);
}

void SidecarTraffic::handleSuspects(const Endpoint& source, const ControlEnvelope& envelope)
{
    const auto reply = std::visit(
        [this](const auto& message) -> std::optional<SuspectStateMessage> {
            if constexpr (SuspectMessage<std::remove_cvref_t<decltype(message)>>)
                return m_guard.containment().receive(message);
            return std::nullopt;
        },
        envelope.message);
    if (!reply || !m_directory)
        return;
    const auto* crash = std::get_if<CrashReportMessage>(&envelope.message);
    if (!crash
        || isAmongFirst(
            suspectRepliers, m_dependencies.settings.instance, crash->target, nodeNames(*m_directory)))
        m_socket.send(source, *reply);
}

void SidecarTraffic::querySuspects()
{
    const auto& self = m_dependencies.settings.instance;
    if (m_directory->instances().size() < 2 || std::exchange(m_suspectsQueried, true))
        return;
    auto order = rendezvousOrder(self.text, nodeNames(*m_directory));
    std::erase(order, self.text);
    order.resize(std::min(order.size(), suspectQueries));
    for (const auto& name : order)
        m_socket.send(m_directory->instance({ name })->peerAddress, CrashContainment::query());
}

void SidecarTraffic::sendSuspects()
{
    for (const auto& crash : m_guard.containment().takeCrashes())
        logCrash(m_dependencies.log, crash);
    for (const auto& message : m_guard.containment().takeMessages()) {
        if (!m_directory)
            continue;
        for (const auto& [name, instance] : m_directory->instances()) {
            if (name != m_dependencies.settings.instance)
                m_socket.send(instance.peerAddress, message);
        }
    }
}

void SidecarTraffic::recordPeerState(const InstanceName& from, const TargetStateMessage& state)
{
    m_guard.recordPeerState(state);
    m_dependencies.log.write(LogLevel::Info, "directory",
        { { "event", "peer-state" }, { "from", from.text }, { "target", state.target },
            { "serving", state.serving }, { "epoch", state.asOf.epoch }, { "asOf", state.asOf.revision } });
}

void SidecarTraffic::sendEvacuations()
{
    for (const auto& [guardAddress, message] : m_evacuations.take(util::BootClock::now()))
        m_socket.send(guardAddress, message);
}

void SidecarTraffic::recordPeerEvacuation(const InstanceName& from, const EvacuationMessage& message)
{
    if (!m_guard.recordPeerEvacuation(message))
        return;
    m_dependencies.log.write(LogLevel::Warning, "evacuation",
        { { "event", message.evacuated ? "begun-by-peer" : "ended-by-peer" }, { "from", from.text },
            { "dataCentre", message.dataCentre }, { "epoch", message.asOf.epoch },
            { "asOf", message.asOf.revision }, { "directoryAsOf", m_directory->asOf().revision } });
}

void SidecarTraffic::sendTargetReports()
{
    for (const auto& notification : m_guard.tick()) {
        m_entry.recordReport(notification.target, notification.report);
        for (const auto& entry : notification.entries) {
            const auto* instance = m_directory ? m_directory->instance(entry) : nullptr;
            if (instance)
                m_socket.send(instance->peerAddress,
                    TargetReportMessage { notification.target.text, notification.report });
        }
    }
}

void SidecarTraffic::logBreakerChanges()
{
    for (const auto& change : m_guard.takeBreakerChanges()) {
        m_metrics.recordBreakerChange(change.state);
        m_dependencies.log.write(LogLevel::Warning, "breaker",
            { { "target", change.target.text }, { "state", toString(change.state) },
                { "answers", change.successes }, { "failures", change.failures } });
    }
}

std::map<ServiceName, ColdStartPolicy> SidecarTraffic::coldStartPolicies() const
{
    std::map<ServiceName, ColdStartPolicy> policies;
    if (m_configuration) {
        for (const auto& service : m_configuration->index().services)
            policies.emplace(service.name, service.coldStart);
    }
    return policies;
}

void SidecarTraffic::logColdChanges()
{
    for (const auto& [target, change, pace] : m_guard.takeColdChanges())
        m_dependencies.log.write(LogLevel::Warning, "cold",
            { { "target", target.text }, { "event", change.cold ? "cold" : "warm" },
                { "source", toString(change.source) },
                { "remainingMs",
                    std::chrono::duration_cast<std::chrono::milliseconds>(change.remaining).count() },
                { "requestsPerSecond", pace } });
}

void SidecarTraffic::logAttempt(const AttemptRecord& attempt)
{
    const auto level = attempt.status > 0 ? LogLevel::Info : LogLevel::Warning;
    if (!m_dependencies.log.enabled(level))
        return;
    const auto milliseconds = [](util::Duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    nlohmann::ordered_json fields { { "request", attempt.requestId }, { "target", attempt.target.text },
        { "entry", attempt.entry.text }, { "slots", attempt.slots }, { "slotsInUse", attempt.slotsInUse },
        { "waiting", attempt.waiting }, { "queuedMs", milliseconds(attempt.queueTime) } };
    if (attempt.connectTime)
        fields["connectMs"] = milliseconds(*attempt.connectTime);
    if (attempt.timeToFirstByte)
        fields["firstByteMs"] = milliseconds(*attempt.timeToFirstByte);
    if (attempt.knownLimit)
        fields["knownLimit"] = *attempt.knownLimit;
    if (attempt.coldPace)
        fields["coldPace"] = *attempt.coldPace;
    if (attempt.notice.requestsPerSecond)
        fields["namedLimit"] = *attempt.notice.requestsPerSecond;
    if (attempt.notice.malformedLimit)
        fields["namedLimit"] = "malformed";
    if (attempt.notice.leaving)
        fields["targetLeaving"] = true;
    if (attempt.refusal && attempt.refusal->reason == RefusalReason::TargetFailed
        && attempt.fingerprint.known())
        fields["fingerprint"] = toString(attempt.fingerprint);
    if (attempt.status > 0) {
        fields["status"] = attempt.status;
    } else if (attempt.refusal) {
        fields["reason"] = toString(attempt.refusal->reason);
        fields["run"] = toString(attempt.refusal->run);
        fields["detail"] = attempt.refusal->detail;
    } else {
        fields["reason"] = "given-up";
    }
    m_dependencies.log.write(level, "attempt", std::move(fields));
}

void SidecarTraffic::onTick()
{
    sendTargetReports();
    sendEvacuations();
    sendSuspects();
    logBreakerChanges();
    logColdChanges();
    if (++m_ticks % ticksPerEvaluation == 0) {
        m_admission.tick();
        m_entry.tick();
        m_peerSessions.removeEnded();
    }
    m_callers.relieveMemory();
    m_heapTrimmer.tick(util::BootClock::now());
    m_dependencies.log.tick();
    if (m_stopping)
        advanceStop();
}

void SidecarTraffic::beginStop()
{
    boost::asio::post(m_thread.io(), [this] {
        m_stopping = true;
        m_stopStartedAt = util::BootClock::now();
        m_dependencies.state.ready.store(false);
        m_entry.stop();
        m_callers.closeAfterResponses();
    });
}

void SidecarTraffic::advanceStop()
{
    const auto elapsed = util::BootClock::now() - m_stopStartedAt;
    const bool graceEnding = elapsed >= m_dependencies.settings.policy.gracePeriod - stopMargin;
    if (elapsed < servingTimeAfterStop && !graceEnding)
        return;
    if (!std::exchange(m_refusingRequests, true)) {
        m_entry.setReady(false);
        m_callers.closeListener();
        m_guard.drain();
        m_peerSessions.stop();
    }
    if (graceEnding && !std::exchange(m_requestsAborted, true)) {
        m_callers.abandonRequests();
        return;
    }
    m_callers.closeIdle();
    if (graceEnding || (m_callers.empty() && !m_guard.busy() && !m_peerSessions.busy()))
        m_dependencies.state.drained.store(true);
}

TrafficSources SidecarTraffic::sources() const
{
    return { m_entry, m_guard, m_metrics, m_dependencies.log, &m_admission, &m_dependencies.counters,
        &m_dependencies.state.connections, &m_callers.memory() };
}

} // namespace tarragonhaven
