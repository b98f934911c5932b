// Tests evidence, ejection states, the floor and the choice of a target, without sockets.

#include "tarragonhaven/service_health.h"
#include "tarragonhaven/target_chooser.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace tarragonhaven::testing {

namespace {

    // A service whose targets respond as the test specifies; the reports are cumulative, like those of a
    // guard.
    class SimulatedService {
    public:
        SimulatedService(std::vector<int> slots, int floorPercent,
            EjectionSensitivity sensitivity = EjectionSensitivity::Balanced)
            : health(makeService(slots, floorPercent, sensitivity))
            , m_reports(slots.size())
        {
        }

        static Service makeService(
            const std::vector<int>& slots, int floorPercent, EjectionSensitivity sensitivity)
        {
            Service service { { "s" }, floorPercent, sensitivity, {} };
            for (std::size_t i = 0; i < slots.size(); ++i)
                service.targets.push_back({ nameOf(i), { "i" + std::to_string(i) }, {}, slots[i] });
            return service;
        }

        static TargetName nameOf(std::size_t index) { return { "t" + std::to_string(index) }; }

        void respond(std::size_t target, double milliseconds, bool failed = false)
        {
            auto& report = m_reports[target];
            report.incarnation = 1;
            ++report.sequence;
            if (failed) {
                ++report.failures;
            } else {
                ++report.successes;
                report.logLatencySum += std::log2(milliseconds * 1000);
            }
            health.recordReport(nameOf(target), report, clock.now());
        }

        void setDraining(std::size_t target)
        {
            auto& report = m_reports[target];
            ++report.sequence;
            report.draining = true;
            health.recordReport(nameOf(target), report, clock.now());
        }

        void setLimit(std::size_t target, double requestsPerSecond, std::chrono::milliseconds untilNext)
        {
            auto& report = m_reports[target];
            ++report.sequence;
            report.limitKnown = true;
            report.requestLimit = requestsPerSecond;
            report.limitedMs = untilNext.count();
            health.recordReport(nameOf(target), report, clock.now());
        }

        std::vector<EjectionDecision> evaluate()
        {
            clock.advance(std::chrono::milliseconds(50));
            return health.evaluate(clock.now());
        }

        [[nodiscard]] EjectionState ejectionState(std::size_t target) const
        {
            for (const auto& view : health.views(clock.now())) {
                if (view.target->name == nameOf(target))
                    return view.ejectionState;
            }
            return EjectionState::Active;
        }

        util::ManualClock clock;
        ServiceHealth health;

    private:
        std::vector<TargetReport> m_reports;
    };

    double lognormal(std::mt19937_64& random, double median, double sigma)
    {
        return median * std::exp(std::normal_distribution<double>(0, sigma)(random));
    }

} // namespace

// Guards against entries that together send a cold target far more than it takes, or that use it little
// because of an old record although its guard knows that it is warm.
TEST_CASE("a target is used by its pace while its guard reports that it is cold, and fully once it is warm")
{
    const util::Time now { std::chrono::hours(1) };
    Service service { { "s" }, 70, EjectionSensitivity::Balanced, {} };
    service.targets.push_back({ { "t0" }, { "i0" }, {}, 10 });
    service.targets[0].slowStartUntil = now + std::chrono::seconds(3);
    service.coldStart = { std::chrono::seconds(3), 5, "/health" };
    ServiceHealth health(service);
    const auto view = [&](util::Duration after) { return health.views(now + after).front(); };
    CHECK(view({}).weight == Approx(0.4));
    TargetReport report { .incarnation = 1, .slots = 10 };
    report.coldPace = 5;
    report.coldMs = 2000;
    report.limitedMs = 100;
    for (; report.sequence < 5; ++report.sequence) {
        health.recordReport({ "t0" }, report, now);
        ++report.successes;
        report.logLatencySum += std::log2(0.2e6);
    }
    // Five requests per second of 0.2 s use one slot of ten.
    CHECK(view({}).weight == Approx(0.1));
    CHECK(view({}).cold);
    CHECK(view({}).limited);
    CHECK_FALSE(view(std::chrono::milliseconds(100)).limited);
    CHECK(view(std::chrono::milliseconds(2100)).weight == Approx(1));
    report.coldPace.reset();
    report.coldMs = 0;
    health.recordReport({ "t0" }, report, now + std::chrono::milliseconds(500));
    CHECK(view(std::chrono::milliseconds(500)).weight == Approx(1));
    CHECK_FALSE(view(std::chrono::milliseconds(500)).cold);
}

TEST_CASE("a target that is ten times slower or fails is ejected after a few responses")
{
    struct Case {
        double slowdown;
        bool fails;
        int maximumResponses;
    };
    for (const auto& item : { Case { 10, false, 6 }, Case { 3, false, 20 }, Case { 1, true, 6 } }) {
        INFO("slowdown " << item.slowdown << ", fails " << item.fails);
        std::mt19937_64 random(5);
        SimulatedService service({ 5, 5, 5, 5, 5 }, 50);
        for (int i = 0; i < 100; ++i)
            service.respond(static_cast<std::size_t>(i % 5), lognormal(random, 20, 0.3));
        int responses = 0;
        while (service.ejectionState(2) == EjectionState::Active && responses < 200) {
            ++responses;
            for (std::size_t target = 0; target < 5; ++target) {
                const bool faulty = target == 2;
                service.respond(
                    target, lognormal(random, 20, 0.3) * (faulty ? item.slowdown : 1), faulty && item.fails);
            }
            service.evaluate();
        }
        CHECK(responses <= item.maximumResponses);
    }
}

TEST_CASE("neither noise nor a service that is slow or fails as a whole causes ejections")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        SimulatedService service({ 3, 3, 3, 3 }, 50);
        std::uniform_real_distribution<double> share(0, 1);
        for (int i = 0; i < 4000; ++i) {
            const double slowdown = i > 2000 ? 20 : 1;
            const double failures = i > 3000 ? 0.4 : 0.005;
            const auto target = random() % 4;
            service.respond(target, lognormal(random, 20, 0.6) * slowdown, share(random) < failures);
            if (i % 3 == 0)
                service.evaluate();
            for (std::size_t t = 0; t < 4; ++t)
                REQUIRE(service.ejectionState(t) == EjectionState::Active);
        }
    }
}

TEST_CASE("ejections never take the serving slots below the floor, whatever the evidence")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        std::vector<int> slots;
        for (std::size_t i = 0; i < 3 + seed % 8; ++i)
            slots.push_back(1 + static_cast<int>(random() % 9));
        const int floorPercent = static_cast<int>(random() % 101);
        SimulatedService service(slots, floorPercent);
        std::uniform_real_distribution<double> share(0, 1);
        long ejections = 0;
        for (int i = 0; i < 3000; ++i) {
            const auto target = random() % slots.size();
            // Each target alternates between healthy and failing, with a phase of its own.
            const bool faulty = (i / 300 + static_cast<int>(target)) % 3 == 0;
            service.respond(
                target, lognormal(random, 20, 0.4) * (faulty ? 8 : 1), faulty && share(random) < 0.5);
            if (random() % 400 == 0)
                service.health.markLeaving({ { "i" + std::to_string(random() % slots.size()) } });
            const int before = service.health.servingSlots();
            const auto decisions = service.evaluate();
            for (const auto& decision : decisions)
                ejections += decision.event == EjectionEvent::Ejected ? 1 : 0;
            // The serving slots may be below the floor only because targets left, and then no further target
            // is ejected.
            const int after = service.health.servingSlots();
            REQUIRE((after >= service.health.floorSlots() || after >= before));
        }
        if (floorPercent < 40)
            CHECK(ejections > 0);
    }
}

TEST_CASE("an ejected target returns through probation and ramp, and each repeated ejection lasts longer")
{
    SimulatedService service({ 5, 5, 5, 5 }, 50);
    for (int i = 0; i < 40; ++i)
        service.respond(static_cast<std::size_t>(i % 4), 20);
    std::vector<double> ejectionSeconds;
    for (int round = 0; round < 3; ++round) {
        while (service.ejectionState(0) != EjectionState::Ejected) {
            for (std::size_t t = 0; t < 4; ++t)
                service.respond(t, 20, t == 0);
            service.evaluate();
        }
        const auto start = service.clock.now();
        while (service.ejectionState(0) == EjectionState::Ejected)
            service.evaluate();
        ejectionSeconds.push_back(util::toSeconds(service.clock.now() - start));
        CHECK(service.ejectionState(0) == EjectionState::Probation);
        for (int i = 0; i < 3; ++i)
            service.respond(0, 20);
        CHECK(service.ejectionState(0) == EjectionState::Ramp);
    }
    CHECK(ejectionSeconds[1] > 1.8 * ejectionSeconds[0]);
    CHECK(ejectionSeconds[2] > 1.8 * ejectionSeconds[1]);
    for (int i = 0; i < 300; ++i)
        service.evaluate();
    CHECK(service.ejectionState(0) == EjectionState::Active);
}

TEST_CASE("a target that is still slow does not pass probation")
{
    SimulatedService service({ 5, 5, 5, 5 }, 50);
    for (int i = 0; i < 40; ++i)
        service.respond(static_cast<std::size_t>(i % 4), 20);
    for (int round = 0; round < 400; ++round) {
        for (std::size_t t = 0; t < 4; ++t)
            service.respond(t, t == 0 ? 80 : 20);
        service.evaluate();
        CHECK(service.ejectionState(0) != EjectionState::Ramp);
    }
    CHECK(service.ejectionState(0) != EjectionState::Active);
}

TEST_CASE("a hanging target is ejected because of requests that are still waiting")
{
    SimulatedService service({ 5, 5, 5, 5 }, 50);
    for (int i = 0; i < 40; ++i)
        service.respond(static_cast<std::size_t>(i % 4), 20);
    // Five requests per second go to each target; this target responds to none.
    std::vector<util::Time> sent;
    int steps = 0;
    std::map<std::size_t, util::Duration> recordedAges;
    while (service.ejectionState(1) == EjectionState::Active && steps < 100) {
        if (steps++ % 4 == 0) {
            sent.push_back(service.clock.now());
            for (const std::size_t other : { 0, 2, 3 })
                service.respond(other, 20);
        }
        for (std::size_t i = 0; i < sent.size(); ++i) {
            const auto age = service.clock.now() - sent[i];
            service.health.recordWaiting(SimulatedService::nameOf(1), age, recordedAges[i]);
            recordedAges[i] = age;
        }
        service.evaluate();
    }
    // The target must be ejected within 1.2 s, which are 24 steps of 50 ms.
    CHECK(steps <= 24);
}

TEST_CASE("the chooser prefers the cheaper of two targets and the own data centre, and probes with "
          "idempotent requests only")
{
    SimulatedService service({ 5, 5, 5, 5 }, 0);
    for (int i = 0; i < 40; ++i)
        service.respond(static_cast<std::size_t>(i % 4), 20);
    std::mt19937_64 random(3);
    const auto distanceOf = [](const Target& target) {
        return target.instance.text == "i0" || target.instance.text == "i1" ? 0 : 1;
    };
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1000; ++i)
        ++chosen[chooseTarget(service.health.views(service.clock.now()), { true, {} }, distanceOf, random)
                     .target->name.text];
    CHECK(chosen["t0"] > 300);
    CHECK(chosen["t1"] > 300);
    CHECK(chosen["t2"] + chosen["t3"] == 0);
    while (service.ejectionState(0) != EjectionState::Ejected) {
        service.respond(0, 20, true);
        service.respond(1, 20);
        service.evaluate();
    }
    while (service.ejectionState(0) != EjectionState::Probation)
        service.evaluate();
    int probes = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto views = service.health.views(service.clock.now());
        CHECK(chooseTarget(views, { false, {} }, distanceOf, random).target->name.text != "t0");
        probes += chooseTarget(views, { true, {} }, distanceOf, random).target->name.text == "t0" ? 1 : 0;
    }
    CHECK(probes > 10);
    CHECK(probes < 120);
    const std::set<TargetName> all { SimulatedService::nameOf(0), SimulatedService::nameOf(1),
        SimulatedService::nameOf(2), SimulatedService::nameOf(3) };
    CHECK(chooseTarget(service.health.views(service.clock.now()), { true, all }, distanceOf, random).target
        == nullptr);
}

TEST_CASE("a target that is still slow after its start is used for only a share of its slots")
{
    auto service = SimulatedService::makeService({ 5, 5 }, 50, EjectionSensitivity::Balanced);
    const util::Time now { std::chrono::hours(1) };
    service.targets[1].slowStartUntil = now + std::chrono::seconds(2);
    const ServiceHealth health(service);
    const auto views = health.views(now);
    CHECK(views[0].weight == 1);
    CHECK(views[1].weight > 0);
    CHECK(views[1].weight <= 0.5);
    CHECK(health.views(now + std::chrono::seconds(2))[1].weight == 1);
}

// Guards against a target that an entry never uses again after its guard was stopped and started: without
// requests the entry gets no report that would say so.
TEST_CASE("a target whose guard was draining is tried again after a while")
{
    SimulatedService service({ 5, 5 }, 0);
    for (int i = 0; i < 20; ++i)
        service.respond(static_cast<std::size_t>(i % 2), 20);
    service.setDraining(1);
    CHECK(service.health.views(service.clock.now())[1].leaving);
    CHECK_FALSE(service.health.views(service.clock.now())[0].leaving);
    service.clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(service.health.views(service.clock.now())[1].leaving);
    service.setDraining(1);
    CHECK(service.health.views(service.clock.now())[1].leaving);
}

TEST_CASE("a target with a limit is used for the share of its slots that the limit admits")
{
    SimulatedService service({ 5, 5 }, 0);
    for (int i = 0; i < 20; ++i)
        service.respond(static_cast<std::size_t>(i % 2), 200);
    service.setLimit(1, 5, std::chrono::milliseconds(400));
    // With 200 ms per request, five requests per second keep one of five slots busy.
    const auto views = service.health.views(service.clock.now());
    CHECK(views[0].weight == 1);
    CHECK(views[1].weight == Approx(0.2).epsilon(0.1));
    CHECK_FALSE(views[0].limited);
    CHECK(views[1].limited);
    std::mt19937_64 random(1);
    const auto distance = [](const Target&) { return 0; };
    ChoiceRequest request { true, { SimulatedService::nameOf(0) } };
    CHECK(chooseTarget(views, request, distance, random).target->name.text == "t1");
    request.includeLimited = false;
    CHECK(chooseTarget(views, request, distance, random).target == nullptr);
    service.clock.advance(std::chrono::milliseconds(400));
    CHECK_FALSE(service.health.views(service.clock.now())[1].limited);
}

} // namespace tarragonhaven::testing
