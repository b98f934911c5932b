#pragma once

#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>

namespace tarragonhaven {

// The thread that serves a node's traffic, with an io_context and a periodic timer. The owner declares the
// TrafficThread before the objects that handlers use, so that the io_context outlives these objects. It calls
// stop() before it destroys the objects, so that handlers that are ready run while the objects still exist.
class TrafficThread {
public:
    explicit TrafficThread(util::Duration tickInterval);

    // Starts the thread. On it, `onStart` runs once, followed by `tick` at once and after each interval.
    void start(std::function<void()> onStart, std::function<void()> tick);
    // Ends the thread. Then calls `closeAll` on the calling thread and runs the handlers that are ready after
    // that, so that handlers that hold requests release them.
    void stop(const std::function<void()>& closeAll);

    [[nodiscard]] boost::asio::io_context& io() { return m_io; }

private:
    void runTick();

    boost::asio::io_context m_io;
    boost::asio::steady_timer m_timer;
    util::Duration m_tickInterval;
    std::function<void()> m_tick;
    std::thread m_thread;
};

} // namespace tarragonhaven
