#include "tarragonhaven/traffic_thread.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

TrafficThread::TrafficThread(util::Duration tickInterval)
    : m_timer(m_io)
    , m_tickInterval(tickInterval)
{
}

void TrafficThread::start(std::function<void()> onStart, std::function<void()> tick)
{
    m_tick = std::move(tick);
    boost::asio::post(m_io, [this, onStart = std::move(onStart)] {
        onStart();
        runTick();
    });
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

void TrafficThread::stop(const std::function<void()>& closeAll)
{
    m_io.stop();
    if (!m_thread.joinable())
        return;
    m_thread.join();
    closeAll();
    m_io.restart();
    m_io.poll();
}

void TrafficThread::runTick()
{
    m_tick();
    m_timer.expires_after(m_tickInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            runTick();
    });
}

} // namespace tarragonhaven
