#include "tarragonhaven/sidecar_traffic.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    constexpr util::Duration tickInterval = std::chrono::milliseconds(20);
    constexpr unsigned long ticksPerEvaluation = 5;
    // An instance's callers and links; well under its file descriptors.
    constexpr std::uint32_t maximumConnections = 3000;
    constexpr std::size_t bufferedAnswerBytes = 1024 * 1024;
    constexpr int quickTries = 5;
    constexpr double spillLoad = 0.7;
    // An answer after the objective is worth less, but something.
    constexpr double queueShareOfObjective = 1.5;
    constexpr double unprovenWeight = 0.5;
    constexpr util::Duration targetSilence = std::chrono::seconds(3);
    constexpr util::Duration connectTimeout = std::chrono::milliseconds(500);
    constexpr util::Duration targetIdleLimit = std::chrono::seconds(8);
    // Callers learn of a stop by two misses of readiness, a second apart; until then they are served.
    constexpr util::Duration servedAfterStop = std::chrono::milliseconds(2600);
    // Before the end of the grace period, to close connections.
    constexpr util::Duration stopMargin = std::chrono::milliseconds(400);

    EjectionOptions standingOptions()
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
        options.bufferedResponseBytes = bufferedAnswerBytes;
        options.nonQueuingAttempts = quickTries;
        options.spillLoad = spillLoad;
        options.queueTimeoutShareOfObjective = queueShareOfObjective;
        options.unprovenWeight = unprovenWeight;
        options.bypassBreakerAsLastResort = true;
        options.preferOwnInstance = true;
        options.abortResponsesOfRevokedKeys = false;
        options.deadlineCoversBody = true;
        options.serveWhileStopping = true;
        options.prioritizeInternalRequests = true;
        options.ejection = standingOptions();
        return options;
    }

} // namespace

SidecarTraffic::SidecarTraffic(Parts parts)
    : m_parts(std::move(parts))
    , m_thread(tickInterval)
    , m_guard(m_thread.io(), m_parts.settings.instance, m_parts.hello.incarnation, guardOptions())
    , m_peers(m_thread.io(), m_parts.hello, connectTimeout)
    , m_socket(m_thread.io(), m_parts.settings.fleet, m_parts.settings.instance, m_parts.hello.incarnation)
    , m_admission(
          { m_thread.io(), m_socket, m_parts.log, m_parts.settings.instance, m_parts.settings.policy })
    , m_entry({ m_thread.io(), m_guard, m_peers, m_admission, m_parts.log, m_metrics,
          m_parts.settings.instance, m_parts.settings.dataCentre, m_parts.hello.incarnation,
          entryOptions(m_parts.settings, m_parts.headerNames), &m_admission })
    , m_callers(m_thread.io(), m_entry, maximumConnections)
    , m_peerSessions(m_thread.io(), *this, m_parts.hello)
    , m_status(m_thread.io(), [this] { return sources(); })
{
    m_parts.events.onPush([this] {
        boost::asio::post(m_thread.io(), [this] {
            m_parts.events.drain([this](DiscoveryEvent event) { handleEvent(std::move(event)); });
        });
    });
}

GuardOptions SidecarTraffic::guardOptions()
{
    GuardOptions options;
    options.headerNames = m_parts.headerNames;
    options.breaker.emplace();
    options.refusePredictedTimeouts = true;
    options.allowUnframedResponses = true;
    options.unresponsiveTimeout = targetSilence;
    options.connectTimeout = connectTimeout;
    options.maximumIdleTime = targetIdleLimit;
    options.onAttempt = [this](const AttemptRecord& attempt) {
        m_metrics.noteAttempt(attempt);
        logAttempt(attempt);
    };
    return options;
}

SidecarTraffic::~SidecarTraffic() { stop(); }

std::string SidecarTraffic::open()
{
    auto fault = m_callers.open(m_parts.settings.callerAddress);
    if (fault.empty())
        fault = m_peerSessions.open(m_parts.settings.peerAddress);
    return fault.empty() ? m_socket.open(m_parts.settings.peerAddress) : fault;
}

void SidecarTraffic::start()
{
    m_thread.start(
        [this] {
            m_socket.receive([this](const Endpoint& source,
                                 const ControlEnvelope& envelope) { handleDatagram(source, envelope); },
                [] {});
        },
        [this] { everyTick(); });
}

void SidecarTraffic::stop()
{
    m_thread.stop([this] { m_callers.closeAll(); });
}

ValueFrame SidecarTraffic::value(const std::string& name) { return { name, false, 0, "" }; }

void SidecarTraffic::peerDisconnected(const std::string& peer, const std::string& why)
{
    m_parts.log.write(
        LogLevel::Debug, "peer-link", { { "event", "ended" }, { "peer", peer }, { "reason", why } });
}

void SidecarTraffic::handleEvent(DiscoveryEvent event)
{
    if (auto* accepted = std::get_if<DeclarationsAccepted>(&event))
        m_configuration = std::move(accepted->configuration);
    if (auto* changed = std::get_if<DirectoryChanged>(&event))
        m_directory = std::move(changed->directory);
    applyView();
}

void SidecarTraffic::applyView()
{
    if (m_directory)
        m_guard.apply(*m_directory);
    m_admission.apply(m_configuration, m_directory);
    m_entry.apply(m_configuration, m_directory);
    const bool ready = m_configuration && m_directory;
    m_entry.setReady(ready);
    m_parts.state.ready.store(ready && !m_stopping);
}

void SidecarTraffic::handleDatagram(const Endpoint& source, const ControlEnvelope& envelope)
{
    if (const auto* report = std::get_if<QuotaReportMessage>(&envelope.message))
        m_admission.receive(source, envelope.from, *report);
    if (const auto* elsewhere = std::get_if<RemoteQuotaUsageMessage>(&envelope.message))
        m_admission.receive(envelope.from, *elsewhere);
    if (const auto* ask = std::get_if<QuotaQueryMessage>(&envelope.message))
        m_admission.receive(source, *ask);
    if (const auto* told = std::get_if<TargetReportMessage>(&envelope.message))
        m_entry.recordReport({ told->target }, told->report);
}

void SidecarTraffic::tellEntries()
{
    for (const auto& telling : m_guard.tick()) {
        m_entry.recordReport(telling.target, telling.report);
        for (const auto& entry : telling.entries) {
            const auto* instance = m_directory ? m_directory->instance(entry) : nullptr;
            if (instance)
                m_socket.send(
                    instance->peerAddress, TargetReportMessage { telling.target.text, telling.report });
        }
    }
}

void SidecarTraffic::logBreakers()
{
    for (const auto& change : m_guard.takeBreakerChanges()) {
        m_metrics.noteBreaker(change.state);
        m_parts.log.write(LogLevel::Warning, "breaker",
            { { "target", change.target.text }, { "state", name(change.state) },
                { "answers", change.answers }, { "failures", change.failures } });
    }
}

void SidecarTraffic::logAttempt(const AttemptRecord& attempt)
{
    const auto level = attempt.status > 0 ? LogLevel::Info : LogLevel::Warning;
    if (!m_parts.log.enabled(level))
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
    if (attempt.status > 0) {
        fields["status"] = attempt.status;
    } else if (attempt.refusal) {
        fields["reason"] = toString(attempt.refusal->reason);
        fields["run"] = toString(attempt.refusal->run);
        fields["detail"] = attempt.refusal->detail;
    } else {
        fields["reason"] = "given-up";
    }
    m_parts.log.write(level, "attempt", std::move(fields));
}

void SidecarTraffic::everyTick()
{
    tellEntries();
    logBreakers();
    if (++m_ticks % ticksPerEvaluation == 0) {
        m_admission.tick();
        m_entry.tick();
        m_peerSessions.removeEnded();
    }
    m_parts.log.tick();
    if (m_stopping)
        drainTick();
}

void SidecarTraffic::beginStop()
{
    boost::asio::post(m_thread.io(), [this] {
        m_stopping = true;
        m_stopBegan = util::BootClock::now();
        m_parts.state.ready.store(false);
        m_entry.stop();
        m_callers.closeAfterResponses();
    });
}

void SidecarTraffic::drainTick()
{
    const auto since = util::BootClock::now() - m_stopBegan;
    const bool late = since >= m_parts.settings.policy.gracePeriod - stopMargin;
    if (since < servedAfterStop && !late)
        return;
    if (!std::exchange(m_refusing, true)) {
        m_entry.setReady(false);
        m_callers.closeListener();
        m_guard.drain();
        m_peerSessions.stop();
    }
    if (late && !std::exchange(m_gaveUp, true)) {
        m_callers.abandonRequests();
        return;
    }
    m_callers.closeIdle();
    if (late || (m_callers.empty() && !m_guard.busy()))
        m_parts.state.drained.store(true);
}

TrafficSources SidecarTraffic::sources() const
{
    return { m_entry, m_guard, m_metrics, m_parts.log, &m_admission, &m_parts.counters };
}

} // namespace tarragonhaven
