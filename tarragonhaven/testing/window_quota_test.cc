#include "tarragonhaven/quota_aggregator.h"
#include "tarragonhaven/window_quota.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>

using namespace tarragonhaven;

namespace {

using Seconds = std::chrono::duration<double>;

const util::Time start { std::chrono::hours(1) };
constexpr util::Duration step = std::chrono::milliseconds(10);
const std::string organisation = "harbour";

// Returns the largest number of admissions in any window, over all nodes. The limit bounds this number.
std::size_t mostInAnyWindow(const std::deque<util::Time>& admitted, util::Duration window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

double mostInFiveSeconds(const std::deque<util::Time>& admitted)
{
    return static_cast<double>(mostInAnyWindow(admitted, std::chrono::seconds(5)));
}

// Nodes that report their usage to one aggregator. Nodes may be cut off or restarted, and reports are sent in
// steps of 10 ms.
class QuotaFleet {
public:
    QuotaFleet(int nodes, unsigned seed)
        : m_random(seed)
    {
        for (int i = 0; i < nodes; ++i) {
            m_quotas.emplace_back(QuotaOptions {}, start - std::chrono::seconds(10));
            m_names.push_back(std::to_string(i));
        }
    }

    void sendRequest(std::size_t node, double limit)
    {
        m_limit = limit;
        auto& quota = m_quotas[node];
        quota.recordRequested(organisation, m_now);
        ++m_requested;
        const auto decision = quota.decide(organisation, limit, m_quotas.size(), m_now, false);
        if (decision.admitted)
            m_admitted.push_back(m_now);
        else if (decision.reason == QuotaReason::Unsure)
            decideAfterReport(node, limit);
    }

    void advance()
    {
        m_now += step;
        for (std::size_t node = 0; node < m_quotas.size(); ++node) {
            if (node < m_partitioned)
                continue;
            for (const auto& usage : m_quotas[node].takeReports(m_now))
                deliverReport(node, usage);
        }
    }

    void restart(std::size_t node) { m_quotas[node] = WindowQuota(QuotaOptions {}, m_now); }
    // Discards all reports, as a restart of the aggregating node does.
    void resetAggregator() { m_aggregator = QuotaAggregator(QuotaOptions {}.window); }
    // Cuts the first `nodes` nodes off from the aggregator.
    void partition(std::size_t nodes) { m_partitioned = nodes; }
    [[nodiscard]] util::Time now() const { return m_now; }
    [[nodiscard]] std::size_t requested() const { return m_requested; }
    [[nodiscard]] const std::deque<util::Time>& admitted() const { return m_admitted; }
    std::mt19937& random() { return m_random; }

private:
    // Near the limit, the aggregator queries nodes without a recent report, as in QuotaAdmission.
    void deliverReport(std::size_t node, const QuotaUsage& usage)
    {
        auto remote = m_aggregator.recordReport({ std::to_string(node) }, usage, m_now);
        if (WindowQuota::nearLimit(usage.admitted + remote.admitted, m_limit)) {
            for (const auto& peer : m_aggregator.nodesToQuery(organisation, m_names, m_now)) {
                const auto index = std::stoul(peer.text);
                if (index >= m_partitioned)
                    m_aggregator.recordReport(peer, m_quotas[index].localUsage(organisation, m_now), m_now);
            }
            remote.admitted += static_cast<std::uint32_t>(m_quotas[node].reserveForUnresponsive(
                m_aggregator.unresponsiveNodes(organisation, m_now), m_limit, m_quotas.size()));
        }
        m_quotas[node].updateRemote(remote, m_now);
    }

    // An unsure node first reports to the aggregator and uses its reply, as in QuotaAdmission.
    void decideAfterReport(std::size_t node, double limit)
    {
        if (node >= m_partitioned) {
            for (const auto& usage : m_quotas[node].takeReports(m_now, organisation))
                deliverReport(node, usage);
        }
        if (m_quotas[node].decide(organisation, limit, m_quotas.size(), m_now, true).admitted)
            m_admitted.push_back(m_now);
    }

    std::mt19937 m_random;
    util::Time m_now = start;
    std::vector<WindowQuota> m_quotas;
    QuotaAggregator m_aggregator { QuotaOptions {}.window };
    std::deque<util::Time> m_admitted;
    std::size_t m_requested = 0;
    std::vector<std::string> m_names;
    double m_limit = 0;
    std::size_t m_partitioned = 0;
};

// Sends `perSecond` requests per second to random nodes for `seconds`.
void sendLoad(QuotaFleet& fleet, int nodes, double perSecond, double seconds, double limit)
{
    std::poisson_distribution<int> arrivals(perSecond * Seconds(step).count());
    const auto end = fleet.now() + util::fromSeconds(seconds);
    while (fleet.now() < end) {
        for (int i = arrivals(fleet.random()); i > 0; --i)
            fleet.sendRequest(fleet.random()() % static_cast<unsigned>(nodes), limit);
        fleet.advance();
    }
}

// The tests send rate / 1.6 requests per second as the usual load of an organisation.
constexpr double rate = 33;
constexpr double burst = 33;
constexpr double limit = 5 * rate + burst;
constexpr double bound = limit * 1.25 + 20;

} // namespace

TEST_CASE("no request of an organisation within its rate is refused")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, rate / 1.6, 30, limit);
        CHECK(fleet.admitted().size() == fleet.requested());
    }
}

TEST_CASE("an organisation at 7.5 times its usual load stays within the bound and still gets its limit")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, rate / 1.6, 10, limit);
        sendLoad(fleet, 33, 7.5 * rate / 1.6, 15, limit);
        CHECK(mostInFiveSeconds(fleet.admitted()) <= bound);
        CHECK(static_cast<double>(fleet.admitted().size()) >= rate * 15);
    }
}

TEST_CASE("nodes that are all cut off from the aggregator stay within the bound together")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, rate / 1.6, 10, limit);
        fleet.partition(33);
        sendLoad(fleet, 33, 7.5 * rate / 1.6, 15, limit);
        CHECK(mostInFiveSeconds(fleet.admitted()) <= bound);
    }
}

TEST_CASE("a limit that is lowered far below the load is enforced one window later")
{
    constexpr double lowered = limit / 5;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, rate, 10, limit);
        const auto changed = fleet.now();
        sendLoad(fleet, 33, rate, 20, lowered);
        std::deque<util::Time> after;
        for (const auto& time : fleet.admitted()) {
            if (time >= changed + std::chrono::seconds(5))
                after.push_back(time);
        }
        const double loweredBound = lowered * 1.25 + 20;
        CHECK(mostInFiveSeconds(after) <= loweredBound);
        CHECK(after.size() > 0);
    }
}

TEST_CASE("with a third of the nodes cut off, less than one in a hundred requests within the rate is refused")
{
    std::size_t requested = 0;
    std::size_t admitted = 0;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, rate / 1.6, 10, limit);
        const auto requestedBefore = fleet.requested();
        const auto admittedBefore = fleet.admitted().size();
        fleet.partition(11);
        sendLoad(fleet, 33, rate / 1.6, 20, limit);
        requested += fleet.requested() - requestedBefore;
        admitted += fleet.admitted().size() - admittedBefore;
        CHECK(mostInFiveSeconds(fleet.admitted()) <= bound);
    }
    CAPTURE(requested, admitted);
    CHECK(static_cast<double>(requested - admitted) < 0.01 * static_cast<double>(requested));
}

TEST_CASE("an overload with a third of the nodes cut off stays within the bound")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, rate / 1.6, 10, limit);
        fleet.partition(11);
        sendLoad(fleet, 33, 7.5 * rate / 1.6, 20, limit);
        CHECK(mostInFiveSeconds(fleet.admitted()) <= bound);
    }
}

TEST_CASE("a restart of all nodes under overload stays within the bound")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(33, seed);
        sendLoad(fleet, 33, 7.5 * rate / 1.6, 12, limit);
        for (int i = 0; i < 100; ++i)
            fleet.advance();
        for (std::size_t node = 0; node < 33; ++node)
            fleet.restart(node);
        sendLoad(fleet, 33, 7.5 * rate / 1.6, 10, limit);
        CHECK(mostInFiveSeconds(fleet.admitted()) <= bound);
    }
}

TEST_CASE("a restart of most nodes at once under overload stays within the bound of a small limit")
{
    constexpr double small = 72;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(35, seed);
        sendLoad(fleet, 35, 60, 12, small);
        for (int i = 0; i < 100; ++i)
            fleet.advance();
        for (std::size_t node = 0; node < 24; ++node)
            fleet.restart(node);
        fleet.resetAggregator();
        sendLoad(fleet, 35, 60, 10, small);
        CHECK(mostInFiveSeconds(fleet.admitted()) <= small * 1.25 + 20);
    }
}

TEST_CASE("a sliding window counter covers the window and at most one step more")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const util::Duration window = std::chrono::seconds(2);
        SlidingWindowCounter count(window);
        std::deque<util::Time> events;
        util::Time now = start;
        for (int i = 0; i < 500; ++i) {
            now += std::chrono::milliseconds(random() % 90);
            count.add(now);
            events.push_back(now);
            const auto within = [&](util::Duration span) {
                return std::count_if(
                    events.begin(), events.end(), [&](util::Time event) { return now - event < span; });
            };
            CHECK(static_cast<long>(count.sum(now)) >= within(window));
            CHECK(static_cast<long>(count.sum(now)) <= within(window + window / 20));
        }
    }
}

TEST_CASE("the reported usage of an unresponsive node decays over the window")
{
    QuotaAggregator aggregator(std::chrono::seconds(5));
    aggregator.recordReport({ "a" }, { organisation, 100, 100, false }, start);
    const auto half = aggregator.recordReport(
        { "b" }, { organisation, 1, 1, false }, start + std::chrono::milliseconds(2500));
    CHECK(half.admitted == 50);
    const auto gone
        = aggregator.recordReport({ "b" }, { organisation, 1, 1, false }, start + std::chrono::seconds(5));
    CHECK(gone.admitted == 0);
    aggregator.removeExpired(start + std::chrono::seconds(11));
    CHECK(aggregator.size() == 0);
}
