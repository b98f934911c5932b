// Checks the pace of requests to a cold target against the rule itself, with a virtual clock and a target
// that crashes, restarts and returns cold or warm at random, and whose health responses are late or lost.

#include "tarragonhaven/evacuation/cold_probe.h"
#include "tarragonhaven/evacuation/cold_state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <random>

using namespace tarragonhaven;

namespace {

using std::chrono::milliseconds;

const ColdStartPolicy policy { std::chrono::seconds(3), 14, "/health" };
const util::Time start { std::chrono::hours(1) };

util::Time at(int ms) { return start + milliseconds(ms); }

// A target and its guard, in steps of a millisecond. The guard uses ColdState as GuardedTarget does.
class ColdModel {
public:
    explicit ColdModel(unsigned seed)
        : m_random(seed)
    {
        restart(0);
    }

    void run(int duration)
    {
        for (m_now = 0; m_now < duration; ++m_now) {
            for (auto event = m_events.begin(); event != m_events.end() && event->first <= m_now;) {
                const auto action = std::move(event->second);
                event = m_events.erase(event);
                action();
            }
            if (chance(0.0002))
                crash();
            if (chance(0.0001))
                restartGuard();
            if (chance(0.0001))
                evacuate();
            for (double demand = 0.1; demand > 0 && chance(demand); --demand)
                arrive();
            while (m_waiting > 0 && grant())
                --m_waiting;
            if (m_up && m_now >= m_startsAt && m_state.takeProbe(at(m_now)))
                probe();
            const bool warm = m_up && !m_evacuated && m_now >= m_coldUntil;
            warmMilliseconds += warm ? 1 : 0;
            warmPacedMilliseconds += warm && m_state.isCold(at(m_now)) ? 1 : 0;
        }
    }

    // Returns the most requests that reached the cold target in any one second.
    [[nodiscard]] long mostInOneSecond() const
    {
        long most = 0;
        for (auto first = m_coldArrivals.begin(); first != m_coldArrivals.end(); ++first) {
            const auto end = std::lower_bound(first, m_coldArrivals.end(), *first + 1000);
            most = std::max<long>(most, end - first);
        }
        return most;
    }

    std::vector<int> probes;
    // How long the target was warm, and how long of that it was paced nevertheless.
    int warmMilliseconds = 0;
    int warmPacedMilliseconds = 0;

private:
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    void after(int delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }
    [[nodiscard]] bool hasOpenConnection() const { return m_up && m_connectedTo == m_generation; }

    void restartGuard()
    {
        m_startsAt = m_now + 500;
        m_state = ColdState(policy, {}, at(m_startsAt));
        ++m_guardGeneration;
        m_connectedTo = -1;
        m_waiting = 0;
    }

    void restart(int coldFor)
    {
        m_up = true;
        ++m_generation;
        m_coldUntil = m_now + coldFor;
        if (coldFor > 0 && chance(0.5))
            after(draw(200, 2000),
                [this, coldFor] { m_state.recordAnnounced(at(m_now + coldFor), at(m_now)); });
    }

    void crash()
    {
        if (!m_up)
            return;
        m_up = false;
        if (std::exchange(m_inFlight, 0) > 0)
            after(draw(0, 3), [this] { m_state.assume(ColdSource::ConnectionsLost, at(m_now)); });
        m_inFlight = 0;
        after(draw(5, 1500), [this] { restart(3000); });
    }

    // Nothing is sent while the data centre is evacuated; its target may be replaced meanwhile.
    void evacuate()
    {
        if (std::exchange(m_evacuated, true))
            return;
        m_waiting = 0;
        if (m_up && chance(0.7))
            after(draw(1, 999), [this] {
                if (m_up)
                    restart(draw(0, 1) * 3000);
            });
        after(draw(1000, 4000), [this] {
            m_evacuated = false;
            m_state.assume(ColdSource::EvacuationEnded, at(m_now));
        });
    }

    void arrive()
    {
        if (m_evacuated || m_now < m_startsAt)
            return;
        if (m_granted == 0)
            m_state.recordDemand(hasOpenConnection(), at(m_now));
        m_waiting = std::min(m_waiting + 1, 10);
    }

    bool grant()
    {
        const bool paced = m_state.isCold(at(m_now));
        if (m_granted >= 13 || (paced && m_state.pace().available(at(m_now)) == 0))
            return false;
        if (paced)
            m_state.pace().take(at(m_now));
        ++m_granted;
        after(chance(0.9) ? 0 : draw(1, 600), [this, paced, grantedAt = m_now] { send(paced, grantedAt); });
        return true;
    }

    void send(bool paced, int grantedAt)
    {
        const bool needsToken = m_state.isCold(at(m_now)) && (!paced || m_now - grantedAt > 250);
        const bool refused = m_evacuated || (needsToken && m_state.pace().available(at(m_now)) == 0);
        if (refused || !m_up) {
            --m_granted;
            if (!refused)
                m_state.assume(ColdSource::ConnectionsLost, at(m_now));
            return;
        }
        if (needsToken)
            m_state.pace().take(at(m_now));
        m_connectedTo = m_generation;
        ++m_inFlight;
        const bool cold = m_now < m_coldUntil;
        if (cold)
            m_coldArrivals.push_back(m_now);
        after(draw(50, 150) * (cold ? 2 : 1), [this, generation = m_generation] {
            --m_granted;
            m_inFlight = std::max(0, m_inFlight - (generation == m_generation ? 1 : 0));
        });
    }

    // The response is written at a random moment of its way, or never.
    void probe()
    {
        probes.push_back(m_now);
        const int delay = chance(0.6) ? 25 : draw(25, 3000);
        const bool lost = chance(0.2) || delay > 700;
        auto remaining = std::make_shared<std::optional<util::Duration>>();
        after(draw(1, delay), [this, remaining, generation = m_generation] {
            if (m_up && generation == m_generation)
                *remaining = milliseconds(std::max(0, m_coldUntil - m_now));
        });
        after(lost ? 700 : delay,
            [this, remaining, lost, generation = m_generation, guard = m_guardGeneration] {
                const bool arrives = !lost && m_up && generation == m_generation;
                if (guard == m_guardGeneration)
                    m_state.recordProbe(arrives ? *remaining : std::nullopt, at(m_now));
            });
    }

    std::mt19937_64 m_random;
    int m_now = 0;
    std::multimap<int, std::function<void()>> m_events;
    ColdState m_state { policy, {}, at(0) };
    bool m_up = false;
    bool m_evacuated = false;
    int m_generation = 0;
    int m_guardGeneration = 0;
    // When the present guard starts.
    int m_startsAt = 0;
    int m_connectedTo = -1;
    int m_coldUntil = 0;
    int m_waiting = 0;
    // Requests that hold a slot, and those of them that were sent to the process that runs.
    int m_granted = 0;
    int m_inFlight = 0;
    std::vector<int> m_coldArrivals;
};

} // namespace

TEST_CASE("a cold target never gets more requests in one second than it may, whatever happens to it")
{
    long mostInAll = 0;
    double probesInAll = 0;
    double warmInAll = 0;
    double warmPacedInAll = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        ColdModel model(seed);
        model.run(60'000);
        mostInAll = std::max(mostInAll, model.mostInOneSecond());
        CHECK(model.mostInOneSecond() <= 14 * 1.5 + 8);
        for (std::size_t i = 3; i < model.probes.size(); ++i)
            CHECK(model.probes[i] - model.probes[i - 3] >= 1000);
        probesInAll += static_cast<double>(model.probes.size());
        warmInAll += model.warmMilliseconds;
        warmPacedInAll += model.warmPacedMilliseconds;
    }
    CAPTURE(mostInAll, probesInAll / 60 / 60, warmPacedInAll / warmInAll);
    CHECK(warmPacedInAll / warmInAll < 0.3);
    // The pace is used, and probes are few.
    CHECK(mostInAll > 14);
    CHECK(probesInAll / 60 / 60 < 0.5);
}

TEST_CASE("the pace is designed for what a cold target tolerates, within any setting of the bound")
{
    CHECK(coldShare(14, {}) == RateShare { 14, 3 });
    for (const double rate : { 0.5, 2.0, 14.0, 300.0 }) {
        for (const double slack : { 1.0, 8.0, 100.0 }) {
            const auto share = coldShare(rate, { 1.0, slack });
            CAPTURE(rate, slack, share.ratePerSecond, share.burst);
            CHECK(share.ratePerSecond <= rate);
            CHECK(share.ratePerSecond * 1.25 + share.burst <= std::max(rate + slack, 1.32));
        }
    }
}

// Guards against a target that counts as warm because of a health response that was written before it may
// have restarted, or that came too late, and against one that stays cold although it says that it is not.
TEST_CASE("only a health response to a probe that was sent after the last possible start settles the state")
{
    ColdState state(policy, {}, at(0));
    CHECK(state.isCold(at(2999)));
    CHECK(state.takeChange(at(0)) == ColdChange { true, ColdSource::Start, std::chrono::seconds(3) });
    REQUIRE(state.takeProbe(at(0)));
    CHECK_FALSE(state.takeProbe(at(10)));
    SECTION("it is warm")
    {
        state.recordDemand(false, at(10));
        state.recordProbe(milliseconds(0), at(25));
        CHECK_FALSE(state.isCold(at(25)));
        CHECK(state.takeChange(at(25)) == ColdChange { false, ColdSource::Health, {} });
        state.recordDemand(true, at(30));
        CHECK_FALSE(state.isCold(at(30)));
        state.recordDemand(false, at(40));
        CHECK(state.isCold(at(3030)));
    }
    SECTION("it is cold for longer than assumed")
    {
        state.recordProbe(milliseconds(8000), at(25));
        CHECK(state.isCold(at(8020)));
        CHECK_FALSE(state.isCold(at(8025)));
        CHECK_FALSE(state.takeProbe(at(4000)));
    }
    SECTION("it may have restarted meanwhile, or the response is late, lost or malformed")
    {
        const int kind = GENERATE(0, 1, 2);
        if (kind == 0)
            state.assume(ColdSource::ConnectionsLost, at(10));
        state.recordProbe(
            kind == 2 ? std::nullopt : std::optional<util::Duration>(0), at(kind == 1 ? 900 : 25));
        CHECK(state.isCold(at(2999)));
        CHECK(state.takeProbe(at(1000)));
        CHECK(state.takeChange(at(4000)) == ColdChange { false, ColdSource::Elapsed, {} });
    }
    SECTION("its record says that it is cold, then that it is not")
    {
        state.recordProbe(milliseconds(0), at(25));
        state.recordAnnounced(at(5000), at(1000));
        CHECK(state.isCold(at(4999)));
        CHECK(state.pace().available(at(1000)) == 0);
        state.recordAnnounced({}, at(2000));
        CHECK_FALSE(state.isCold(at(2000)));
    }
}

TEST_CASE("the remaining time in a health response is used only if it is valid")
{
    const auto response = [](int status, const std::string& value) {
        return GetResult(PlatformResponse { status, 0, "", { { "x-cold", value } } });
    };
    CHECK(coldRemainingOf(response(200, "1500"), "X-Cold") == milliseconds(1500));
    CHECK(coldRemainingOf(response(200, "0"), "X-Cold") == milliseconds(0));
    for (const auto* value : { "", "-1", "1.5", "soon", "999999999999" })
        CHECK_FALSE(coldRemainingOf(response(200, value), "X-Cold"));
    CHECK_FALSE(coldRemainingOf(response(503, "0"), "X-Cold"));
    CHECK_FALSE(coldRemainingOf(response(200, "0"), ""));
    CHECK_FALSE(coldRemainingOf(tl::unexpected(GetFailure::TimedOut), "X-Cold"));
}
