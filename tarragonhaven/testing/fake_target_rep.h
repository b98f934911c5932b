#pragma once

#include "tarragonhaven/listener.h"
#include "tarragonhaven/testing/fake_target.h"
#include "util/time.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <thread>

namespace tarragonhaven::testing {

// The state of a fake target, which its sessions share. All but what the mutex guards belongs to its thread.
class FakeTarget::Rep {
public:
    Rep(std::string targetName, const Endpoint& address, HeaderNames names)
        : name(std::move(targetName))
        , headerNames(std::move(names))
        , endpoint(address)
        , listener(std::make_unique<Listener>(
              io, [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); }))
        , restartTimer(io)
        , startTime(util::BootClock::now())
    {
        stats.starts.push_back(std::chrono::steady_clock::now());
        const auto error = listener->open(address);
        if (!error.empty())
            throw std::runtime_error("fake target cannot start: " + error);
        thread = std::thread([this] {
            const auto work = boost::asio::make_work_guard(io);
            io.run();
        });
    }

    ~Rep()
    {
        io.stop();
        thread.join();
        // Sessions that the io_context still owns access this object in their destructors, so they must be
        // destroyed first: closing their sockets makes their handlers run in poll().
        const auto closers = sessionClosers;
        for (const auto& closer : closers)
            closer.second();
        restartTimer.cancel();
        io.restart();
        io.poll();
    }

    void accept(boost::asio::ip::tcp::socket socket);
    void acceptControl(boost::asio::ip::tcp::socket socket);

    void crash()
    {
        double downtimeMs = 0;
        {
            const std::lock_guard lock(mutex);
            ++stats.crashes;
            downtimeMs = plan.crashMs;
        }
        restart(std::chrono::microseconds(static_cast<long>(downtimeMs * 1000)));
    }

    // Closes the listener and all connections, and listens again after `downtime`.
    void restart(std::chrono::microseconds downtime)
    {
        listener->close();
        const auto closers = sessionClosers;
        for (const auto& closer : closers)
            closer.second();
        restartTimer.expires_after(downtime);
        restartTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            startTime = util::BootClock::now();
            {
                const std::lock_guard lock(mutex);
                stats.starts.push_back(std::chrono::steady_clock::now());
            }
            listener = std::make_unique<Listener>(
                io, [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); });
            listener->open(endpoint);
        });
    }

    // Returns a random number from 0 to 1.
    double drawFraction() { return std::uniform_real_distribution<double>(0, 1)(random); }

    // Returns whether the plan closes connections now: always, or in every second flap period.
    [[nodiscard]] bool isDropping(const FaultPlan& activePlan) const
    {
        if (activePlan.dropAll || activePlan.flapPeriodMs <= 0)
            return activePlan.dropAll;
        const auto uptimeMs = util::toSeconds(util::BootClock::now() - startTime) * 1000;
        return static_cast<long>(uptimeMs / activePlan.flapPeriodMs) % 2 == 1;
    }

    // Returns how long the target remains cold, in milliseconds; 0 if it is not.
    [[nodiscard]] double coldRemainingMs(const FaultPlan& activePlan)
    {
        const auto now = util::BootClock::now();
        const std::lock_guard lock(mutex);
        return std::max({ 0.0, activePlan.coldMs - util::toSeconds(now - startTime) * 1000,
            util::toSeconds(coldUntil - now) * 1000 });
    }

    [[nodiscard]] double serviceTimeMs(const FaultPlan& activePlan)
    {
        const double coldStartFactor = coldRemainingMs(activePlan) > 0 ? activePlan.coldFactor : 1;
        return activePlan.serviceMs * activePlan.slowFactor * coldStartFactor;
    }

    FaultPlan currentPlan()
    {
        const std::lock_guard lock(mutex);
        return plan;
    }

    std::string statsJson()
    {
        const std::lock_guard lock(mutex);
        nlohmann::json runs = nlohmann::json::object();
        for (const auto& [key, count] : stats.runs)
            runs[key] = count;
        return nlohmann::json {
            { "requests", stats.requests }, { "mostAtOnce", stats.maxConcurrentRequests },
            { "crashes", stats.crashes }, { "runs", runs }
        }.dump();
    }

    std::string name;
    HeaderNames headerNames;
    Endpoint endpoint;
    boost::asio::io_context io;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<Listener> controlListener;
    boost::asio::steady_timer restartTimer;
    util::Time startTime;
    util::Time coldUntil {};
    std::mt19937_64 random { 1 };
    std::map<void*, std::function<void()>> sessionClosers;
    int concurrentRequests = 0;
    std::mutex mutex;
    FaultPlan plan;
    TargetNotice notice;
    TargetStats stats;
    std::thread thread;
};

} // namespace tarragonhaven::testing
