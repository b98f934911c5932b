#include "tarragonhaven/node_traffic.h"

#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/rendezvous.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <type_traits>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration tickInterval = std::chrono::milliseconds(10);
    constexpr unsigned long ticksPerEvaluation = 5;
    // How long idle connections stay open after the stop began, so that a request that is already on its way
    // still gets a response, which announces that the connection closes.
    constexpr util::Duration idleConnectionTimeAfterStop = std::chrono::seconds(1);
    // The number of nodes that a node asks for suspects after its start.
    constexpr std::size_t suspectQueries = 4;

} // namespace

NodeTraffic::NodeTraffic(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_thread(tickInterval)
    , m_guard(m_thread.io(), m_dependencies.settings.instance, m_dependencies.localHello.incarnation)
    , m_peers(m_thread.io(), m_dependencies.localHello)
    , m_control(m_thread.io(), m_dependencies.controlRequests,
          IdempotencyKeyIssuer(m_dependencies.settings.instance, m_dependencies.localHello.incarnation,
              m_dependencies.idempotencySecret),
          m_dependencies.localHello.incarnation)
    , m_entry({ m_thread.io(), m_guard, m_peers, m_control, m_dependencies.log, m_metrics,
          m_dependencies.settings.instance, m_dependencies.settings.dataCentre,
          m_dependencies.localHello.incarnation, EntryOptions {} })
    , m_callers(m_thread.io(), m_entry, m_dependencies.connections.callers,
          m_dependencies.state.connections.callers,
          CallerSessionOptions { m_dependencies.settings.pipeline, m_dependencies.settings.progress,
              m_dependencies.settings.heads, m_dependencies.memoryBoundBytes })
    , m_peerSessions(m_thread.io(), *this, m_dependencies.localHello, m_dependencies.connections.peers,
          m_dependencies.state.connections.peers, m_dependencies.log)
    , m_status(m_thread.io(), [this] { return sources(); })
{
    m_dependencies.configurationEvents.setWakeHandler([this] {
        boost::asio::post(m_thread.io(), [this] {
            m_dependencies.configurationEvents.drain(
                [this](ConfigurationEvent event) { handleEvent(std::move(event)); });
        });
    });
    m_dependencies.controlReplies.setWakeHandler([this] {
        boost::asio::post(m_thread.io(), [this] {
            m_dependencies.controlReplies.drain([this](const ControlReply& reply) { handleReply(reply); });
        });
    });
}

NodeTraffic::~NodeTraffic() { stop(); }

std::string NodeTraffic::open()
{
    const auto error = m_callers.open(m_dependencies.settings.callerAddress);
    return error.empty() ? m_peerSessions.open(m_dependencies.settings.peerAddress) : error;
}

void NodeTraffic::start()
{
    m_thread.start([] {}, [this] { onTick(); });
}

void NodeTraffic::stop()
{
    m_thread.stop([this] { m_callers.closeAll(); });
}

ValueFrame NodeTraffic::value(const std::string& name)
{
    const auto& configuration = m_entry.configuration();
    const auto text = configuration ? configuration->text(name) : nullptr;
    if (!text)
        return { name, false, 0, "" };
    return { name, true, configuration->revision(), *text };
}

void NodeTraffic::peerDisconnected(const std::string& peer, const std::string& why)
{
    m_dependencies.log.write(
        LogLevel::Debug, "peer-link", { { "event", "ended" }, { "peer", peer }, { "reason", why } });
}

void NodeTraffic::handleEvent(ConfigurationEvent event)
{
    if (auto* accepted = std::get_if<ConfigurationAccepted>(&event)) {
        const auto directory = Directory::fromConfiguration(*accepted->configuration);
        m_guard.apply(*directory);
        m_entry.apply(std::move(accepted->configuration), directory);
        querySuspects();
        updateReadiness();
    }
    if (auto* leaving = std::get_if<LeavingInstancesChanged>(&event)) {
        m_listedLeavingInstances = std::move(leaving->instances);
        updateLeavingInstances();
    }
}

void NodeTraffic::handleReply(const ControlReply& reply)
{
    m_control.handle(reply);
    if (const auto* received = std::get_if<TargetReportReceived>(&reply))
        m_entry.recordReport(received->target, received->report);
    if (const auto* suspects = std::get_if<SuspectsReceived>(&reply))
        handleSuspects(*suspects);
    const auto* view = std::get_if<FleetView>(&reply);
    if (!view)
        return;
    m_fleetView = *view;
    m_entry.setKeysFresh(view->keysFresh);
    updateLeavingInstances();
    updateReadiness();
}

void NodeTraffic::handleSuspects(const SuspectsReceived& received)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (SuspectMessage<std::remove_cvref_t<decltype(message)>>) {
                if (auto reply = m_guard.containment().receive(message))
                    sendSuspects(std::move(*reply), received.from);
            }
        },
        received.message);
}

void NodeTraffic::sendSuspects(ControlMessage message, const InstanceName& to)
{
    m_dependencies.controlRequests.push(SendSuspectsRequest { std::move(message), to });
}

// Asks a few nodes for the suspects that they know, once after the start.
void NodeTraffic::querySuspects()
{
    if (std::exchange(m_suspectsQueried, true))
        return;
    std::vector<std::string> others;
    for (const auto& instance : m_entry.configuration()->index().instances) {
        if (instance.name != m_dependencies.settings.instance)
            others.push_back(instance.name.text);
    }
    auto order = rendezvousOrder(m_dependencies.settings.instance.text, std::move(others));
    order.resize(std::min(order.size(), suspectQueries));
    for (const auto& name : order)
        sendSuspects(CrashContainment::query(), { name });
}

void NodeTraffic::updateReadiness()
{
    const bool ready = m_entry.configuration() && m_fleetView.mayServe;
    m_entry.setReady(ready);
    m_dependencies.state.ready.store(ready && !m_stopping);
}

void NodeTraffic::updateLeavingInstances()
{
    auto leaving = m_listedLeavingInstances;
    leaving.insert(m_fleetView.leaving.begin(), m_fleetView.leaving.end());
    m_entry.markLeaving(leaving);
    if (m_listedLeavingInstances.contains(m_dependencies.settings.instance))
        m_guard.drain();
}

void NodeTraffic::onTick()
{
    for (auto& notification : m_guard.tick()) {
        m_entry.recordReport(notification.target, notification.report);
        m_dependencies.controlRequests.push(SendTargetReportRequest {
            notification.target, notification.report, std::move(notification.entries) });
    }
    for (const auto& crash : m_guard.containment().takeCrashes())
        logCrash(m_dependencies.log, crash);
    for (auto& message : m_guard.containment().takeMessages())
        sendSuspects(std::move(message), {});
    m_control.tick();
    if (++m_ticks % ticksPerEvaluation == 0) {
        m_entry.tick();
        m_peerSessions.removeEnded();
    }
    m_callers.relieveMemory();
    m_heapTrimmer.tick(util::BootClock::now());
    m_dependencies.log.tick();
    if (m_stopping)
        advanceStop();
}

void NodeTraffic::beginStop()
{
    boost::asio::post(m_thread.io(), [this] {
        m_stopping = true;
        m_stopStartedAt = util::BootClock::now();
        m_dependencies.state.ready.store(false);
        m_dependencies.controlRequests.push(StopRequest {});
        m_callers.closeListener();
        m_guard.drain();
        m_callers.closeAfterResponses();
        m_peerSessions.stop();
    });
}

void NodeTraffic::advanceStop()
{
    const auto elapsed = util::BootClock::now() - m_stopStartedAt;
    const bool timedOut = elapsed >= m_dependencies.settings.drainTimeout;
    if (timedOut || elapsed >= idleConnectionTimeAfterStop)
        m_callers.closeIdle();
    if (timedOut || (m_callers.empty() && !m_guard.busy() && !m_peerSessions.busy()))
        m_dependencies.state.drained.store(true);
}

TrafficSources NodeTraffic::sources() const
{
    return { m_entry, m_guard, m_metrics, m_dependencies.log, nullptr, nullptr,
        &m_dependencies.state.connections, &m_callers.memory() };
}

} // namespace tarragonhaven
