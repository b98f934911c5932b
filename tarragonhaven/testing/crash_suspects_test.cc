// Requests that crash targets: the table of one node, and a fleet of tables that exchange messages over a
// lossy network, while other requests run and targets crash for other reasons.

#include "tarragonhaven/crash_suspects.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <queue>
#include <random>
#include <set>

namespace tarragonhaven::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr RequestFingerprint poison { 1 };
    constexpr RequestFingerprint other { 2 };

    TargetCrash crashOf(int target) { return { { absl::StrCat("t", target) }, 1000 }; }

    struct FleetOptions {
        std::uint64_t seed = 1;
        int nodes = 33;
        int slots = 5;
        double messageLoss = 0;
        // Requests of other callers a second. A share of them repeats a few that are sent often.
        double requestsPerSecond = 60;
        double popularShare = 0.5;
        // The time between two attempts of the request that crashes targets; zero for none.
        util::Duration poisonInterval {};
        // Targets that crash for other reasons: the share that crashes at the same time, every so often.
        double killShare = 0;
        util::Duration killInterval = seconds(10);
        // The time between two restarts of all nodes, which forget everything; zero for none.
        util::Duration restartInterval {};
    };

    struct FleetResult {
        // The times at which the poison request crashed a target.
        std::vector<util::Time> poisonRuns;
        int poisonRefused = 0;
        int refusedOthers = 0;
        int otherRuns = 0;
    };

    // Runs a fleet in simulated time. Each node guards one target; a request comes to a random node and goes
    // on to a random target that is up and has a free slot.
    class SimulatedFleet {
    public:
        explicit SimulatedFleet(const FleetOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_nodes(static_cast<std::size_t>(options.nodes))
        {
        }

        FleetResult run(util::Duration duration)
        {
            if (m_options.poisonInterval > util::Duration {})
                repeat(m_options.poisonInterval, [this] { arrive(poison, true); });
            repeat(util::fromSeconds(1 / m_options.requestsPerSecond), [this] { arriveOther(); });
            if (m_options.killShare > 0)
                repeat(m_options.killInterval, [this] { killSome(); });
            if (m_options.restartInterval > util::Duration {})
                repeat(m_options.restartInterval, [this] {
                    for (auto& node : m_nodes)
                        node.suspects = CrashSuspects();
                });
            const auto end = m_now + duration;
            while (m_events.top().at < end) {
                const auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.call();
            }
            return m_result;
        }

        // Ends the fault that makes the poison request crash targets.
        void repairAt(util::Duration after)
        {
            schedule(after, [this] { m_repaired = true; });
        }
        [[nodiscard]] int poisonAnswers() const { return m_poisonAnswers; }
        [[nodiscard]] util::Time now() const { return m_now; }

    private:
        struct Running {
            std::uint64_t id = 0;
            RequestFingerprint fingerprint;
            bool popular = false;
        };
        struct Node {
            CrashSuspects suspects;
            std::vector<Running> running;
            bool up = true;
        };
        struct Event {
            util::Time at;
            std::uint64_t number;
            std::function<void()> call;
            bool operator<(const Event& later) const
            {
                return std::pair(at, number) > std::pair(later.at, later.number);
            }
        };

        void schedule(util::Duration after, std::function<void()> call)
        {
            m_events.push({ m_now + after, ++m_eventNumber, std::move(call) });
        }

        void repeat(util::Duration interval, const std::function<void()>& call)
        {
            schedule(interval, [this, interval, call] {
                call();
                repeat(interval, call);
            });
        }

        double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        std::size_t drawNode() { return m_random() % m_nodes.size(); }

        void arriveOther()
        {
            const bool popular = draw() < m_options.popularShare;
            constexpr std::uint64_t firstPopular = 100;
            constexpr std::uint64_t firstUnique = 1000;
            constexpr std::uint64_t popularCount = 10;
            arrive({ popular ? firstPopular + m_random() % popularCount : firstUnique + ++m_unique }, false);
        }

        void arrive(RequestFingerprint fingerprint, bool isPoison)
        {
            auto& entry = m_nodes[drawNode()].suspects;
            if (entry.quarantineOf(fingerprint, m_now))
                return recordRefused(isPoison);
            for (int attempt = 0; attempt < 10; ++attempt) {
                const auto index = drawNode();
                auto& node = m_nodes[index];
                if (!node.up || node.running.size() >= static_cast<std::size_t>(m_options.slots))
                    continue;
                const bool isGuard = &node.suspects != &entry;
                if (const auto held
                    = isGuard ? node.suspects.quarantineOf(fingerprint, m_now) : std::nullopt) {
                    entry.recordHold(fingerprint, *held, m_now);
                    return recordRefused(isPoison);
                }
                return begin(index, fingerprint, isPoison);
            }
        }

        void recordRefused(bool isPoison) { ++(isPoison ? m_result.poisonRefused : m_result.refusedOthers); }

        void begin(std::size_t index, RequestFingerprint fingerprint, bool isPoison)
        {
            auto& node = m_nodes[index];
            const auto id = ++m_lastId;
            node.running.push_back({ id, fingerprint });
            if (isPoison && !m_repaired) {
                m_result.poisonRuns.push_back(m_now);
                return schedule(milliseconds(5), [this, index, id] {
                    if (isRunning(index, id))
                        crash(index);
                });
            }
            ++m_result.otherRuns;
            schedule(util::fromSeconds(0.1 + 0.4 * draw()), [this, index, id, fingerprint, isPoison] {
                if (!isRunning(index, id))
                    return;
                auto& node = m_nodes[index];
                std::erase_if(node.running, [id](const Running& running) { return running.id == id; });
                m_poisonAnswers += isPoison ? 1 : 0;
                if (node.suspects.recordAnswer(fingerprint, m_now))
                    sendToOthers(index, [fingerprint](Node& receiver, util::Time) {
                        receiver.suspects.recordRemoteAnswer(fingerprint);
                    });
            });
        }

        [[nodiscard]] bool isRunning(std::size_t index, std::uint64_t id) const
        {
            const auto& running = m_nodes[index].running;
            return std::any_of(
                running.begin(), running.end(), [id](const Running& item) { return item.id == id; });
        }

        // The target beside a node crashes, and is up again some seconds later. Its guard finds out after a
        // moment.
        void crash(std::size_t index)
        {
            auto& node = m_nodes[index];
            const TargetCrash crashed { { absl::StrCat("t", index) }, m_now.time_since_epoch().count() };
            std::vector<RequestFingerprint> running;
            for (const auto& item : std::exchange(node.running, {}))
                running.push_back(item.fingerprint);
            node.up = false;
            schedule(seconds(3), [this, index] { m_nodes[index].up = true; });
            schedule(milliseconds(20), [this, index, crashed, running] {
                const auto states = m_nodes[index].suspects.recordCrash(crashed, running, m_now);
                if (states.empty())
                    return;
                sendToOthers(index, [this, index, crashed, states](Node& receiver, util::Time now) {
                    const auto known = receiver.suspects.recordReport(crashed, states, now);
                    if (!known.empty() && draw() >= m_options.messageLoss)
                        m_nodes[index].suspects.merge(known, now);
                });
            });
        }

        // Messages are sent twice, since some of them are lost.
        void sendToOthers(std::size_t sender, const std::function<void(Node&, util::Time)>& receive)
        {
            for (const auto delay : { 0.001, 0.3 }) {
                for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                    if (i != sender && draw() >= m_options.messageLoss)
                        schedule(util::fromSeconds(delay + 0.005 * draw()),
                            [this, i, receive] { receive(m_nodes[i], m_now); });
                }
            }
        }

        void killSome()
        {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_nodes[i].up && draw() < m_options.killShare)
                    crash(i);
            }
        }

        FleetOptions m_options;
        std::mt19937_64 m_random;
        util::Time m_now { std::chrono::hours(1) };
        std::vector<Node> m_nodes;
        std::priority_queue<Event> m_events;
        std::uint64_t m_eventNumber = 0;
        std::uint64_t m_lastId = 0;
        std::uint64_t m_unique = 0;
        bool m_repaired = false;
        int m_poisonAnswers = 0;
        FleetResult m_result;
    };

    // Returns how many runs began later than `delay` after the third.
    int runsAfterThird(const std::vector<util::Time>& runs, util::Duration delay)
    {
        if (runs.size() < 3)
            return 0;
        return static_cast<int>(
            std::count_if(runs.begin(), runs.end(), [&](util::Time run) { return run > runs[2] + delay; }));
    }

    constexpr std::uint64_t seeds = 10;

} // namespace

TEST_CASE("a request that was running at three crashes is quarantined, for longer after each further crash")
{
    CrashSuspects suspects;
    util::Time now { std::chrono::hours(1) };
    for (int crash = 1; crash <= 3; ++crash) {
        CHECK_FALSE(suspects.quarantineOf(poison, now));
        now += seconds(1);
        suspects.recordCrash(
            crashOf(crash), { poison, RequestFingerprint { 100u + static_cast<unsigned>(crash) } }, now);
        CHECK(suspects.crashesOf(poison) == crash);
    }
    CHECK(suspects.quarantineOf(poison, now) == seconds(120));
    CHECK_FALSE(suspects.quarantineOf({ 101 }, now));
    now += seconds(120);
    // One request is let through to try.
    CHECK_FALSE(suspects.quarantineOf(poison, now));
    CHECK(suspects.quarantineOf(poison, now) == seconds(10));
    suspects.recordCrash(crashOf(4), { poison }, now + seconds(1));
    CHECK(suspects.quarantineOf(poison, now + seconds(1)) == seconds(240));
}

TEST_CASE("a request that a target answers is not a suspect")
{
    CrashSuspects suspects;
    util::Time now { std::chrono::hours(1) };
    suspects.recordCrash(crashOf(1), { poison, other }, now);
    suspects.recordCrash(crashOf(2), { poison, other }, now);
    CHECK(suspects.isSuspect(other));
    CHECK(suspects.recordAnswer(other, now));
    CHECK_FALSE(suspects.isSuspect(other));
    // Crashes right after an answer do not count.
    for (int crash = 3; crash <= 6; ++crash)
        CHECK(suspects.recordCrash(crashOf(crash), { other }, now + seconds(1)).empty());
    CHECK_FALSE(suspects.quarantineOf(other, now + seconds(1)));
    suspects.recordCrash(crashOf(7), { other }, now + seconds(11));
    CHECK(suspects.crashesOf(other) == 1);
}

TEST_CASE("a report of a crash counts once, and a node that has missed reports learns what others know")
{
    CrashSuspects guard;
    CrashSuspects node;
    CrashSuspects restarted;
    util::Time now { std::chrono::hours(1) };
    for (int crash = 1; crash <= 3; ++crash) {
        const auto states = guard.recordCrash(crashOf(crash), { poison }, now);
        node.recordReport(crashOf(crash), states, now);
        node.recordReport(crashOf(crash), states, now);
        CHECK(node.crashesOf(poison) == crash);
    }
    CHECK_FALSE(node.quarantineOf(poison, now));
    now += milliseconds(100);
    CHECK(node.quarantineOf(poison, now));
    const auto known = node.recordReport(crashOf(4), restarted.recordCrash(crashOf(4), { poison }, now), now);
    REQUIRE(known.size() == 1);
    CHECK_FALSE(restarted.quarantineOf(poison, now));
    restarted.merge(known, now);
    CHECK(restarted.quarantineOf(poison, now));
}

// Guards against a caller that takes down one target after the other by sending the same request again and
// again.
TEST_CASE("a request that crashes targets reaches few of them after the third, and others are not refused")
{
    for (const auto interval : { seconds(3), seconds(1) }) {
        for (const double loss : { 0.0, 0.1 }) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                FleetOptions options;
                options.seed = seed;
                options.messageLoss = loss;
                options.poisonInterval = interval;
                const auto result = SimulatedFleet(options).run(std::chrono::minutes(10));
                CAPTURE(seed, loss, interval.count(), result.poisonRuns.size(), result.poisonRefused);
                CHECK(runsAfterThird(result.poisonRuns, seconds(3)) <= 3);
                CHECK(result.refusedOthers == 0);
            }
        }
    }
}

TEST_CASE("a request that crashes targets and comes in quick succession is held back after few crashes")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.poisonInterval = milliseconds(20);
        const auto result = SimulatedFleet(options).run(std::chrono::minutes(1));
        CAPTURE(seed, result.poisonRuns.size());
        CHECK(result.poisonRuns.size() <= 8);
        CHECK(result.refusedOthers == 0);
    }
}

TEST_CASE("a request that crashes targets is recognised while targets crash for other reasons as well")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.poisonInterval = seconds(2);
        options.killShare = 0.1;
        options.killInterval = seconds(3);
        const auto result = SimulatedFleet(options).run(std::chrono::minutes(3));
        CAPTURE(seed, result.poisonRuns.size());
        CHECK(runsAfterThird(result.poisonRuns, seconds(3)) <= 3);
        CHECK(result.refusedOthers == 0);
    }
}

// Guards against callers that are refused because their requests happened to run at targets that crashed.
TEST_CASE("requests that were running at many crashes are not refused")
{
    struct Row {
        double killShare;
        util::Duration killInterval;
        double popularShare;
    };
    for (const auto& row : { Row { 0.7, seconds(10), 0.9 }, Row { 0.7, seconds(4), 0.5 },
             Row { 0.2, seconds(1), 0.5 }, Row { 1, seconds(5), 0.5 } }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            FleetOptions options;
            options.seed = seed;
            options.requestsPerSecond = 200;
            options.killShare = row.killShare;
            options.killInterval = row.killInterval;
            options.popularShare = row.popularShare;
            const auto result = SimulatedFleet(options).run(std::chrono::minutes(2));
            CAPTURE(seed, row.killShare, row.popularShare, result.otherRuns);
            CHECK(result.refusedOthers == 0);
        }
    }
}

TEST_CASE(
    "nodes that forget everything let a request that crashes targets through at most three times each time")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.poisonInterval = seconds(1);
        options.restartInterval = seconds(50);
        const auto result = SimulatedFleet(options).run(seconds(199));
        CAPTURE(seed);
        CHECK(result.poisonRuns.size() <= 12);
    }
}

TEST_CASE("a request that no longer crashes targets is served after its quarantine")
{
    FleetOptions options;
    options.poisonInterval = seconds(3);
    SimulatedFleet fleet(options);
    fleet.repairAt(seconds(30));
    const auto result = fleet.run(seconds(200));
    CHECK(result.poisonRuns.size() == 3);
    CHECK(fleet.poisonAnswers() > 10);
}

} // namespace tarragonhaven::testing
