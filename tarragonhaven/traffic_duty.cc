#include "tarragonhaven/traffic_duty.h"

#include "tarragonhaven/declaration_write.h"

#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    constexpr util::Duration tickInterval = std::chrono::milliseconds(10);
    constexpr unsigned long ticksPerEvaluation = 5;
    // How long an idle connection is kept after the stop began: a request that is on its way is still
    // answered, and told that the connection ends.
    constexpr util::Duration idleAfterStop = std::chrono::seconds(1);

} // namespace

TrafficDuty::TrafficDuty(Parts parts)
    : m_parts(std::move(parts))
    , m_thread(tickInterval)
    , m_guard(m_thread.io(), m_parts.settings.instance, m_parts.hello.incarnation)
    , m_peers(m_thread.io(), m_parts.hello)
    , m_control(m_thread.io(), m_parts.controlRequests,
          IdempotencyKeyIssuer(m_parts.settings.instance, m_parts.hello.incarnation, m_parts.identitySecret),
          m_parts.hello.incarnation)
    , m_entry({ m_thread.io(), m_guard, m_peers, m_control, m_parts.log, m_metrics, m_parts.settings.instance,
          m_parts.settings.dataCentre, m_parts.hello.incarnation, EntryOptions {} })
    , m_callers(m_thread.io(), m_entry, m_parts.settings.maximumConnections)
    , m_peerSessions(m_thread.io(), *this, m_parts.hello)
    , m_status(m_thread.io(), [this] { return sources(); })
{
    m_parts.configurationEvents.onPush([this] {
        boost::asio::post(m_thread.io(), [this] {
            m_parts.configurationEvents.drain(
                [this](ConfigurationEvent event) { handleEvent(std::move(event)); });
        });
    });
    m_parts.controlReplies.onPush([this] {
        boost::asio::post(m_thread.io(), [this] {
            m_parts.controlReplies.drain([this](const ControlReply& reply) { handleReply(reply); });
        });
    });
}

TrafficDuty::~TrafficDuty() { stop(); }

std::string TrafficDuty::open()
{
    const auto fault = m_callers.open(m_parts.settings.callerAddress);
    return fault.empty() ? m_peerSessions.open(m_parts.settings.peerAddress) : fault;
}

void TrafficDuty::start()
{
    m_thread.start([] {}, [this] { everyTick(); });
}

void TrafficDuty::stop()
{
    m_thread.stop([this] { m_callers.closeAll(); });
}

ValueFrame TrafficDuty::value(const std::string& name)
{
    const auto& configuration = m_entry.configuration();
    const auto text = configuration ? configuration->text(name) : nullptr;
    if (!text)
        return { name, false, 0, "" };
    return { name, true, configuration->revision(), *text };
}

void TrafficDuty::peerDisconnected(const std::string& peer, const std::string& why)
{
    m_parts.log.write(
        LogLevel::Debug, "peer-link", { { "event", "ended" }, { "peer", peer }, { "reason", why } });
}

void TrafficDuty::handleEvent(ConfigurationEvent event)
{
    if (auto* accepted = std::get_if<ConfigurationAccepted>(&event)) {
        const auto directory = Directory::fromConfiguration(*accepted->configuration);
        m_guard.apply(*directory);
        m_entry.apply(std::move(accepted->configuration), directory);
        updateReadiness();
    }
    if (auto* leaving = std::get_if<LeavingInstancesChanged>(&event)) {
        m_listedLeaving = std::move(leaving->instances);
        markLeaving();
    }
}

void TrafficDuty::handleReply(const ControlReply& reply)
{
    m_control.handle(reply);
    if (const auto* told = std::get_if<TargetReportReceived>(&reply))
        m_entry.recordReport(told->target, told->report);
    const auto* view = std::get_if<FleetView>(&reply);
    if (!view)
        return;
    m_view = *view;
    m_entry.setKeysFresh(view->keysFresh);
    markLeaving();
    updateReadiness();
}

void TrafficDuty::updateReadiness()
{
    const bool ready = m_entry.configuration() && m_view.mayServe;
    m_entry.setReady(ready);
    m_parts.state.ready.store(ready && !m_stopping);
}

void TrafficDuty::markLeaving()
{
    auto leaving = m_listedLeaving;
    leaving.insert(m_view.leaving.begin(), m_view.leaving.end());
    m_entry.markLeaving(leaving);
    if (m_listedLeaving.contains(m_parts.settings.instance))
        m_guard.drain();
}

void TrafficDuty::everyTick()
{
    for (auto& telling : m_guard.tick()) {
        m_entry.recordReport(telling.target, telling.report);
        m_parts.controlRequests.push(
            SendTargetReportRequest { telling.target, telling.report, std::move(telling.entries) });
    }
    m_control.tick();
    if (++m_ticks % ticksPerEvaluation == 0) {
        m_entry.tick();
        m_peerSessions.removeEnded();
    }
    m_parts.log.tick();
    if (m_stopping)
        drainTick();
}

void TrafficDuty::beginStop()
{
    boost::asio::post(m_thread.io(), [this] {
        m_stopping = true;
        m_stopBegan = util::BootClock::now();
        m_parts.state.ready.store(false);
        m_parts.controlRequests.push(StopRequest {});
        m_callers.closeListener();
        m_guard.drain();
        m_callers.closeAfterResponses();
        m_peerSessions.stop();
    });
}

void TrafficDuty::drainTick()
{
    const auto since = util::BootClock::now() - m_stopBegan;
    const bool late = since >= m_parts.settings.drainTimeout;
    if (late || since >= idleAfterStop)
        m_callers.closeIdle();
    if (late || (m_callers.empty() && !m_guard.busy()))
        m_parts.state.drained.store(true);
}

TrafficSources TrafficDuty::sources() const { return { m_entry, m_guard, m_metrics, m_parts.log }; }

} // namespace tarragonhaven
