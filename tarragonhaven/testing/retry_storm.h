#pragma once

#include "tarragonhaven/testing/quota_fleet.h"

#include <deque>
#include <functional>
#include <string>

namespace tarragonhaven::testing {

// What reached a service: first attempts, and repeated ones, in order of time.
struct ServiceArrivals {
    std::deque<util::Time> requests;
    std::deque<util::Time> repeats;
    // Retries that were wanted and not granted.
    std::uint64_t denied = 0;
};

// How the repeats of a service in one window compare with the allowance.
struct WindowUse {
    double repeats = 0;
    double allowance = 0;
    [[nodiscard]] double share() const { return repeats / allowance; }
};

// Returns the window with the largest share of its allowance in use, among those that end between two times.
// The allowance of a window is a share of the requests in it, in the window before or in the window that
// ended half a window earlier, whichever has most, and a fixed number.
WindowUse fullestWindow(
    const ServiceArrivals& arrivals, const FleetPolicy& policy, util::Time begin, util::Time end);

// Requests to two services whose targets shed a part of them. Each run of the outer service calls the inner
// one with a given probability. A run of a request that was sent before is a repeat, and so are its calls.
class RetryStorm {
public:
    struct Shape {
        QuotaFleet::Shape fleet;
        double requestsPerSecond = 450;
        double nestedShare = 0.3;
    };
    // How many requests arrive, compared with usual, and which share of the attempts at each service is shed.
    struct Load {
        double factor = 1;
        double outerShedShare = 0.02;
        double innerShedShare = 0.02;
    };

    RetryStorm(Shape shape, unsigned seed);

    void run(double seconds, Load load);

    [[nodiscard]] QuotaFleet& fleet() { return m_fleet; }
    [[nodiscard]] const ServiceArrivals& outer() const { return m_outer; }
    [[nodiscard]] const ServiceArrivals& inner() const { return m_inner; }

private:
    // A request to one of the services, as its entry knows it.
    struct Request {
        bool inner = false;
        std::size_t entry = 0;
        int attempts = 0;
    };

    void scheduleNext(util::Time end);
    void arrive(bool inner, bool ofRepeat);
    // An attempt that reaches a target.
    void attempt(Request request);
    void onShed(const Request& request);
    void after(double minimumSeconds, double maximumSeconds, std::function<void()> action);
    [[nodiscard]] double uniform() { return std::uniform_real_distribution<>()(m_fleet.random()); }
    ServiceArrivals& arrivalsOf(const Request& request) { return request.inner ? m_inner : m_outer; }

    Shape m_shape;
    QuotaFleet m_fleet;
    Load m_load;
    ServiceArrivals m_outer;
    ServiceArrivals m_inner;
};

} // namespace tarragonhaven::testing
