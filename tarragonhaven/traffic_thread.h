#pragma once

#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>

namespace tarragonhaven {

// The thread that carries a node's traffic: an io_context and a timer. What its handlers use must be declared
// after it, so that it is there while they wait; stop() lets them end before any of it does.
class TrafficThread {
public:
    explicit TrafficThread(util::Duration tickInterval);

    // Starts the thread. `first` runs on it once, then `tick` each interval.
    void start(std::function<void()> onStart, std::function<void()> tick);
    // Ends the thread, calls `endAll` here, and runs the handlers that are ready then: those that hold
    // requests let go of them.
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
