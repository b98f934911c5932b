// Replies are pushed to the traffic thread directly after each event instead of at the next tick, so that a
// grant is not delayed.

#include "tarragonhaven/control_thread.h"

#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;

    constexpr util::Duration tickInterval = std::chrono::milliseconds(10);
    constexpr std::size_t ringCapacity = 16384;

} // namespace

ControlThread::ControlThread(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_core(m_dependencies.identity, m_clock, std::mt19937_64(m_dependencies.identity.incarnation))
    , m_socket(m_io, m_dependencies.identity.fleet, m_dependencies.identity.self,
          m_dependencies.identity.incarnation)
    , m_tickTimer(m_io)
    , m_requests(ringCapacity)
    , m_replies(ringCapacity)
{
    m_requests.setWakeHandler([this] {
        boost::asio::post(m_io, [this] {
            m_requests.drain([this](const ControlRequest& request) { m_core.request(request); });
            flush();
        });
    });
    m_dependencies.configurationEvents.setWakeHandler([this] {
        boost::asio::post(m_io, [this] {
            m_dependencies.configurationEvents.drain(
                [this](const ConfigurationEvent& event) { handleEvent(event); });
            flush();
        });
    });
}

ControlThread::~ControlThread() { stop(); }

std::string ControlThread::open() { return m_socket.open(m_dependencies.address); }

void ControlThread::start()
{
    boost::asio::post(m_io, [this] {
        m_socket.receive([this](const Endpoint& source,
                             const ControlEnvelope& envelope) { m_core.receive(source, envelope); },
            [this] { flush(); });
        runTick();
    });
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

void ControlThread::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlThread::runTick()
{
    m_core.tick();
    flush();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](error_code error) {
        if (!error)
            runTick();
    });
}

void ControlThread::handleEvent(const ConfigurationEvent& event)
{
    if (const auto* accepted = std::get_if<ConfigurationAccepted>(&event))
        m_core.apply(accepted->configuration);
    if (const auto* confirmed = std::get_if<RevisionConfirmed>(&event))
        m_core.onPlatformConfirmed(confirmed->at);
}

void ControlThread::logFleetView(const FleetView& view)
{
    auto leaving = nlohmann::ordered_json::array();
    for (const auto& instance : view.leaving)
        leaving.push_back(instance.text);
    m_dependencies.log.write(LogLevel::Info, "fleet-view",
        { { "leaving", leaving }, { "keysFresh", view.keysFresh }, { "mayServe", view.mayServe } });
}

void ControlThread::flush()
{
    for (auto& reply : m_core.takeReplies()) {
        if (const auto* view = std::get_if<FleetView>(&reply))
            logFleetView(*view);
        m_replies.push(std::move(reply));
    }
    for (auto& peerRevision : m_core.takePeerRevisions())
        m_dependencies.peerRevisions.push(std::move(peerRevision));
    for (auto& datagram : m_core.takeDatagrams())
        m_socket.send(datagram.to, std::move(datagram.message));
}

} // namespace tarragonhaven
