#include "tarragonhaven/testing/retry_storm.h"

#include <algorithm>
#include <iterator>

namespace tarragonhaven::testing {

namespace {

    const std::string outerService = "enrollment";
    const std::string innerService = "status";
    constexpr int maximumAttempts = 6;

    double countBetween(const std::deque<util::Time>& times, util::Time begin, util::Time end)
    {
        return static_cast<double>(std::distance(std::upper_bound(times.begin(), times.end(), begin),
            std::upper_bound(times.begin(), times.end(), end)));
    }

} // namespace

WindowUse fullestWindow(
    const ServiceArrivals& arrivals, const FleetPolicy& policy, util::Time begin, util::Time end)
{
    const auto window = policy.retryWindow;
    WindowUse fullest { 0, 1 };
    for (const auto last : arrivals.repeats) {
        if (last < begin || last > end)
            continue;
        double requests = 0;
        for (const auto shift : { util::Duration {}, window / 2, window })
            requests
                = std::max(requests, countBetween(arrivals.requests, last - window - shift, last - shift));
        const WindowUse use { countBetween(arrivals.repeats, last - window, last),
            policy.retryShare * requests + policy.retrySlack };
        if (use.share() > fullest.share())
            fullest = use;
    }
    return fullest;
}

RetryStorm::RetryStorm(Shape shape, unsigned seed)
    : m_shape(std::move(shape))
    , m_fleet(m_shape.fleet, seed)
{
}

void RetryStorm::run(double seconds, Load load)
{
    m_load = load;
    const auto end = m_fleet.now() + util::fromSeconds(seconds);
    scheduleNext(end);
    m_fleet.runUntil(end);
}

void RetryStorm::scheduleNext(util::Time end)
{
    const double perSecond = m_load.factor * m_shape.requestsPerSecond;
    const auto next
        = m_fleet.now() + util::fromSeconds(std::exponential_distribution<>(perSecond)(m_fleet.random()));
    if (next > end)
        return;
    m_fleet.at(next, [this, end] {
        arrive(false, false);
        scheduleNext(end);
    });
}

void RetryStorm::after(double minimumSeconds, double maximumSeconds, std::function<void()> action)
{
    const auto delay = util::fromSeconds(minimumSeconds + (maximumSeconds - minimumSeconds) * uniform());
    m_fleet.at(m_fleet.now() + delay, std::move(action));
}

void RetryStorm::arrive(bool inner, bool ofRepeat)
{
    Request request { inner, m_fleet.random()() % m_fleet.size() };
    auto* node = m_fleet.node(request.entry);
    if (!node)
        return;
    const auto& service = inner ? innerService : outerService;
    if (ofRepeat)
        node->recordNestedRepeat(service, m_fleet.now());
    else
        node->recordFirstAttempt(service, m_fleet.now());
    m_fleet.flush(request.entry);
    auto& arrivals = arrivalsOf(request);
    (ofRepeat ? arrivals.repeats : arrivals.requests).push_back(m_fleet.now());
    attempt(request);
}

void RetryStorm::attempt(Request request)
{
    ++request.attempts;
    if (uniform() < (request.inner ? m_load.innerShedShare : m_load.outerShedShare))
        return after(0.003, 0.01, [this, request] { onShed(request); });
    if (!request.inner && uniform() < m_shape.nestedShare)
        after(0.02, 0.4, [this, repeat = request.attempts > 1] { arrive(true, repeat); });
}

// A repeat reaches its target after a short wait in a queue.
void RetryStorm::onShed(const Request& request)
{
    auto* node = m_fleet.node(request.entry);
    if (!node || request.attempts >= maximumAttempts)
        return;
    const auto onDecision = [this, request](bool granted) {
        if (!granted) {
            ++arrivalsOf(request).denied;
            return;
        }
        after(0, 0.2, [this, request] {
            arrivalsOf(request).repeats.push_back(m_fleet.now());
            attempt(request);
        });
    };
    node->acquireRetry(
        request.inner ? innerService : outerService, request.inner ? -1 : 0, m_fleet.now(), onDecision);
    if (m_fleet.node(request.entry))
        m_fleet.flush(request.entry);
}

} // namespace tarragonhaven::testing
