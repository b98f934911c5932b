#include "tarragonhaven/sidecar_traffic.h"

#include "tarragonhaven/traffic_status.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    constexpr util::Duration tickInterval = std::chrono::milliseconds(20);
    constexpr unsigned long ticksPerEvaluation = 5;
    constexpr std::size_t statusRingItems = 16;
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

    GuardOptions guardOptions(const HttpDialect& dialect)
    {
        GuardOptions options;
        options.dialect = dialect;
        options.breaker.emplace();
        options.predictWaits = true;
        options.unframedAnswers = true;
        options.silence = targetSilence;
        options.connectTimeout = connectTimeout;
        options.idleLimit = targetIdleLimit;
        return options;
    }

    StandingOptions standingOptions()
    {
        StandingOptions options;
        options.firstHoldoff = std::chrono::milliseconds(1500);
        options.longestHoldoff = std::chrono::seconds(6);
        options.forgetAfter = std::chrono::seconds(30);
        options.ramp = std::chrono::seconds(2);
        return options;
    }

    EntryOptions entryOptions(const SidecarSettings& settings, const HttpDialect& dialect)
    {
        EntryOptions options;
        options.dialect = dialect;
        options.callerService = settings.service;
        options.bufferedAnswerBytes = bufferedAnswerBytes;
        options.quickTries = quickTries;
        options.spillLoad = spillLoad;
        options.queueShareOfObjective = queueShareOfObjective;
        options.unprovenWeight = unprovenWeight;
        options.insistAtLast = true;
        options.preferOwnInstance = true;
        options.endAnswersOfWithdrawnKeys = false;
        options.deadlineCoversBody = true;
        options.serveWhileStopping = true;
        options.internalFirst = true;
        options.standing = standingOptions();
        return options;
    }

} // namespace

SidecarTraffic::SidecarTraffic(Parts parts)
    : m_parts(std::move(parts))
    , m_guard(m_io, m_parts.settings.instance, m_parts.hello.incarnation, guardOptions(m_parts.dialect))
    , m_peers(m_io, m_parts.hello, connectTimeout)
    , m_socket(m_io, m_parts.settings.fleet, m_parts.settings.instance, m_parts.hello.incarnation)
    , m_admission({ m_io, m_socket, m_parts.log, m_parts.settings.instance, m_parts.settings.policy })
    , m_entry({ m_io, m_guard, m_peers, m_admission, m_parts.log, m_metrics, m_parts.settings.instance,
          m_parts.settings.dataCentre, m_parts.hello.incarnation,
          entryOptions(m_parts.settings, m_parts.dialect), &m_admission })
    , m_callers(m_io, m_entry, maximumConnections)
    , m_peerSessions(m_io, *this, m_parts.hello)
    , m_tickTimer(m_io)
    , m_statusRequests(statusRingItems)
    , m_statusReplies(statusRingItems)
{
    m_parts.events.onPush([this] {
        boost::asio::post(m_io, [this] {
            m_parts.events.drain([this](DiscoveryEvent event) { handleEvent(std::move(event)); });
        });
    });
    m_statusRequests.onPush([this] {
        boost::asio::post(m_io, [this] {
            m_statusRequests.drain([this](const StatusRequest& request) { answerStatus(request); });
        });
    });
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
    boost::asio::post(m_io, [this] {
        m_socket.receive([this](const Endpoint& source,
                             const ControlEnvelope& envelope) { handleDatagram(source, envelope); },
            [] {});
        everyTick();
    });
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

void SidecarTraffic::stop()
{
    m_io.stop();
    if (!m_thread.joinable())
        return;
    m_thread.join();
    // Handlers that still wait hold exchanges, which use the entry when they end: let them end before it.
    m_callers.endAll();
    m_io.restart();
    m_io.poll();
}

ValueFrame SidecarTraffic::value(const std::string& name) { return { name, false, 0, "" }; }

void SidecarTraffic::peerEnded(const std::string& peer, const std::string& why)
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
    if (const auto* elsewhere = std::get_if<QuotaElsewhereMessage>(&envelope.message))
        m_admission.receive(envelope.from, *elsewhere);
    if (const auto* told = std::get_if<TargetReportMessage>(&envelope.message))
        m_entry.noteReport({ told->target }, told->report);
}

void SidecarTraffic::tellEntries()
{
    for (const auto& telling : m_guard.tick()) {
        m_entry.noteReport(telling.target, telling.report);
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
        m_parts.log.write(LogLevel::Warning, "breaker",
            { { "target", change.target.text }, { "state", name(change.state) },
                { "answers", change.answers }, { "failures", change.failures } });
    }
}

void SidecarTraffic::everyTick()
{
    tellEntries();
    logBreakers();
    if (++m_ticks % ticksPerEvaluation == 0) {
        m_admission.tick();
        m_entry.tick();
        m_peerSessions.tidy();
    }
    m_parts.log.tick();
    if (m_stopping)
        drainTick();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            everyTick();
    });
}

void SidecarTraffic::beginStop()
{
    boost::asio::post(m_io, [this] {
        m_stopping = true;
        m_stopBegan = util::BootClock::now();
        m_parts.state.ready.store(false);
        m_entry.stop();
        m_callers.endAfterAnswers();
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
        m_callers.giveUp();
        return;
    }
    m_callers.endIdle();
    if (late || (m_callers.empty() && !m_guard.busy()))
        m_parts.state.drained.store(true);
}

void SidecarTraffic::answerStatus(const StatusRequest& request)
{
    m_statusReplies.push(
        { request.number, trafficStatusJson(m_entry, m_guard, m_metrics), m_metrics.exposition() });
}

} // namespace tarragonhaven
