// Replies are flushed after every event, so a grant reaches the traffic thread in one hop.

#include "tarragonhaven/control_duty.h"

#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;

    constexpr util::Duration tickInterval = std::chrono::milliseconds(10);
    constexpr std::size_t ringItems = 16384;

} // namespace

ControlDuty::ControlDuty(Parts parts)
    : m_parts(std::move(parts))
    , m_core(m_parts.identity, m_clock, std::mt19937_64(m_parts.identity.incarnation))
    , m_socket(m_io, m_parts.identity.fleet, m_parts.identity.self, m_parts.identity.incarnation)
    , m_tickTimer(m_io)
    , m_requests(ringItems)
    , m_replies(ringItems)
{
    m_requests.onPush([this] {
        boost::asio::post(m_io, [this] {
            m_requests.drain([this](const ControlRequest& request) { m_core.request(request); });
            flush();
        });
    });
    m_parts.configurationEvents.onPush([this] {
        boost::asio::post(m_io, [this] {
            m_parts.configurationEvents.drain(
                [this](const ConfigurationEvent& event) { handleEvent(event); });
            flush();
        });
    });
}

ControlDuty::~ControlDuty() { stop(); }

std::string ControlDuty::open() { return m_socket.open(m_parts.address); }

void ControlDuty::start()
{
    boost::asio::post(m_io, [this] {
        m_socket.receive([this](const Endpoint& source,
                             const ControlEnvelope& envelope) { m_core.receive(source, envelope); },
            [this] { flush(); });
        everyTick();
    });
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

void ControlDuty::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlDuty::everyTick()
{
    m_core.tick();
    flush();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](error_code error) {
        if (!error)
            everyTick();
    });
}

void ControlDuty::handleEvent(const ConfigurationEvent& event)
{
    if (const auto* accepted = std::get_if<ConfigurationAccepted>(&event))
        m_core.apply(accepted->configuration);
    if (const auto* confirmed = std::get_if<RevisionConfirmed>(&event))
        m_core.notePlatformConfirmed(confirmed->at);
}

void ControlDuty::logView(const FleetView& view)
{
    auto leaving = nlohmann::ordered_json::array();
    for (const auto& instance : view.leaving)
        leaving.push_back(instance.text);
    m_parts.log.write(LogLevel::Info, "fleet-view",
        { { "leaving", leaving }, { "keysFresh", view.keysFresh }, { "mayServe", view.mayServe } });
}

void ControlDuty::flush()
{
    for (auto& reply : m_core.takeReplies()) {
        if (const auto* view = std::get_if<FleetView>(&reply))
            logView(*view);
        m_replies.push(std::move(reply));
    }
    for (auto& news : m_core.takePeerRevisions())
        m_parts.peerRevisions.push(std::move(news));
    for (auto& datagram : m_core.takeDatagrams())
        m_socket.send(datagram.to, std::move(datagram.message));
}

} // namespace tarragonhaven
