// Tests which requests get a slot at a guarded target, without sockets.

#include "tarragonhaven/guarded_target.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>
#include <vector>

using namespace tarragonhaven;

namespace {

// A guarded target with one slot, to which tests send requests.
class SingleSlotTarget {
public:
    explicit SingleSlotTarget(const GuardOptions& options = {})
        : guarded(m_io, makeTarget(), 1, options)
    {
    }

    static Target makeTarget() { return { { "t1" }, { "i1" }, { "127.0.0.1", 1 }, 1 }; }

    static RequestContext request(util::Duration queueFor)
    {
        RequestContext context;
        const auto now = util::BootClock::now();
        context.deadline = now + std::chrono::seconds(10);
        context.queueDeadline = now + queueFor;
        return context;
    }

    // Sends a request and returns its outcome, or nothing while the request waits.
    std::optional<Outcome<void>> acquireSlot(const RequestContext& context)
    {
        auto result = std::make_shared<std::optional<Outcome<void>>>();
        ticket
            = guarded.acquireSlot(context, [result](Outcome<void> outcome) { *result = std::move(outcome); });
        m_latest = result;
        return latestOutcome();
    }

    // Returns the current outcome of the last request, or nothing while it waits.
    std::optional<Outcome<void>> latestOutcome()
    {
        m_io.restart();
        m_io.poll();
        return *m_latest;
    }

private:
    boost::asio::io_context m_io;
    std::shared_ptr<std::optional<Outcome<void>>> m_latest;

public:
    GuardedTarget guarded;
    std::uint64_t ticket = 0;
};

} // namespace

TEST_CASE("a request whose queue timeout has passed still gets a free slot")
{
    for (const bool predicts : { false, true }) {
        GuardOptions options;
        options.refusePredictedTimeouts = predicts;
        SingleSlotTarget target(options);
        const auto granted = target.acquireSlot(SingleSlotTarget::request(-std::chrono::seconds(1)));
        REQUIRE(granted);
        CHECK(*granted);
        auto second = target.acquireSlot(SingleSlotTarget::request(-std::chrono::seconds(1)));
        target.guarded.tick();
        second = target.latestOutcome();
        REQUIRE(second);
        REQUIRE_FALSE(*second);
        CHECK(second->error().run == RunState::NotRun);
    }
}

TEST_CASE("a request past its deadline gets no slot")
{
    SingleSlotTarget target;
    auto context = SingleSlotTarget::request(-std::chrono::seconds(1));
    context.deadline = util::BootClock::now() - std::chrono::milliseconds(1);
    target.acquireSlot(context);
    target.guarded.tick();
    const auto refused = target.latestOutcome();
    REQUIRE(refused);
    CHECK_FALSE(*refused);
}

TEST_CASE("requests waiting for a leaving target are refused as not run, running requests continue")
{
    SingleSlotTarget target;
    REQUIRE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
    CHECK_FALSE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
    target.guarded.retire();
    const auto refused = target.latestOutcome();
    REQUIRE(refused);
    REQUIRE_FALSE(*refused);
    CHECK(refused->error().reason == RefusalReason::Stopping);
    CHECK(refused->error().run == RunState::NotRun);
    CHECK(target.guarded.busy());
    const auto late = target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5)));
    REQUIRE(late);
    CHECK_FALSE(*late);
}

// Guards against a target that gets more requests than the limit that it names in its responses. The bound is
// that of the users: one and a half times the limit and five requests more in 4 s, from 3 s after the limit
// was first named.
TEST_CASE("a target gets no more requests than the limit that it has named")
{
    constexpr double limits[] = { 0.5, 1.0, 5.0 };
    SingleSlotTarget targets[std::size(limits)];
    std::vector<util::Time> sent[std::size(limits)];
    const auto named = util::BootClock::now();
    for (std::size_t i = 0; i < std::size(limits); ++i)
        targets[i].guarded.recordNotice({ limits[i], false, false });
    while (util::BootClock::now() < named + std::chrono::milliseconds(7200)) {
        for (std::size_t i = 0; i < std::size(limits); ++i) {
            auto& target = targets[i];
            const auto granted = target.acquireSlot(SingleSlotTarget::request(std::chrono::milliseconds(1)));
            if (granted && *granted)
                sent[i].push_back(util::BootClock::now());
            target.guarded.releaseSlot(target.ticket);
            target.guarded.tick();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    for (std::size_t i = 0; i < std::size(limits); ++i) {
        CAPTURE(limits[i], sent[i].size());
        std::size_t most = 0;
        for (const auto from : sent[i]) {
            const auto inWindow
                = [from](util::Time time) { return time >= from && time < from + std::chrono::seconds(4); };
            if (from >= named + std::chrono::seconds(3))
                most = std::max<std::size_t>(most, std::count_if(sent[i].begin(), sent[i].end(), inWindow));
        }
        CHECK(static_cast<double>(most) <= 1.5 * 4 * limits[i] + 5);
        // Most of the limit is used.
        CHECK(static_cast<double>(sent[i].size()) >= 0.8 * 7 * limits[i]);
    }
}

// Guards against a restart of the guard by which the limit of its target would be lost.
TEST_CASE("a guard that has just started keeps the limit that an entry node knows")
{
    SingleSlotTarget target;
    auto context = SingleSlotTarget::request(std::chrono::seconds(5));
    context.mayQueue = false;
    context.knownTargetLimit = 2;
    const auto refused = target.acquireSlot(context);
    REQUIRE(refused);
    REQUIRE_FALSE(*refused);
    CHECK(refused->error().reason == RefusalReason::NoFreeSlot);
    CHECK(target.guarded.report().requestLimit == 2.0);
    CHECK_FALSE(target.guarded.report().limitKnown);
    // Once the target has responded, its own word counts.
    target.guarded.recordNotice({});
    CHECK(target.guarded.report().limitKnown);
    const auto granted = target.acquireSlot(context);
    REQUIRE(granted);
    CHECK(*granted);
}

TEST_CASE("a request that the limit of its target cannot admit in time is refused at once")
{
    SingleSlotTarget target;
    target.guarded.recordNotice({ 1.0, false, false });
    CHECK_FALSE(target.acquireSlot(SingleSlotTarget::request(std::chrono::milliseconds(1500))));
    const auto refused = target.acquireSlot(SingleSlotTarget::request(std::chrono::milliseconds(1500)));
    REQUIRE(refused);
    REQUIRE_FALSE(*refused);
    CHECK(refused->error().reason == RefusalReason::QueueFull);
    CHECK(refused->error().run == RunState::NotRun);
    // It would have been admitted after 2 s.
    CHECK(refused->error().retryAfter > std::chrono::milliseconds(1500));
    CHECK(refused->error().retryAfter <= std::chrono::seconds(2));
}

TEST_CASE("a malformed limit leaves the earlier one in force")
{
    SingleSlotTarget target;
    target.guarded.recordNotice({ 3.0, false, false });
    target.guarded.recordNotice({ std::nullopt, true, false });
    CHECK(target.guarded.requestLimit() == 3.0);
}

// Guards against requests to a target that has announced in a response that it is about to stop, while the
// store that would say so is away.
TEST_CASE("a target that announces that it is leaving gets no further requests")
{
    SingleSlotTarget target;
    REQUIRE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
    CHECK_FALSE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
    target.guarded.recordNotice({ std::nullopt, false, true });
    const auto waiting = target.latestOutcome();
    REQUIRE(waiting);
    REQUIRE_FALSE(*waiting);
    CHECK(waiting->error().reason == RefusalReason::Stopping);
    CHECK(waiting->error().run == RunState::NotRun);
    // Neither a response that was written before the announcement nor the directory revokes it.
    target.guarded.recordNotice({});
    target.guarded.update(SingleSlotTarget::makeTarget());
    const auto late = target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5)));
    REQUIRE(late);
    REQUIRE_FALSE(*late);
    CHECK(late->error().reason == RefusalReason::Stopping);
    CHECK(target.guarded.report().draining);
}

// Guards against refusals of the requests that targets send while they run others: those may wait until their
// deadline, since a whole request is lost with them.
TEST_CASE("only requests with a queue timeout are refused long before they are expected to miss it")
{
    GuardOptions options;
    options.refusePredictedTimeouts = true;
    options.predictedTimeShare = 0.5;
    SingleSlotTarget target(options);
    REQUIRE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    target.guarded.releaseSlot(target.ticket);
    // Requests hold the slot for 200 ms on average, so the next one is expected to wait that long.
    REQUIRE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
    auto nested = SingleSlotTarget::request(std::chrono::seconds(5));
    nested.queueDeadline = {};
    nested.deadline = util::BootClock::now() + std::chrono::milliseconds(300);
    CHECK_FALSE(target.acquireSlot(nested));
    const auto refused = target.acquireSlot(SingleSlotTarget::request(std::chrono::milliseconds(300)));
    REQUIRE(refused);
    REQUIRE_FALSE(*refused);
    CHECK(refused->error().reason == RefusalReason::QueueFull);
}

// Guards against a target that hangs and keeps its good name, because its requests are given up once hedges
// have been answered elsewhere.
TEST_CASE("a request that is given up after several service times without a response counts as a failure")
{
    SingleSlotTarget target;
    const auto send = [&target](std::chrono::milliseconds wait) {
        REQUIRE(target.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5))));
        target.guarded.recordSent(target.ticket);
        std::this_thread::sleep_for(wait);
    };
    send(std::chrono::milliseconds(0));
    target.guarded.recordResult(target.ticket, TargetResult::Success, std::chrono::milliseconds(100));
    target.guarded.releaseSlot(target.ticket);
    send(std::chrono::milliseconds(20));
    target.guarded.recordAbandoned(target.ticket);
    target.guarded.releaseSlot(target.ticket);
    CHECK(target.guarded.report().failures == 0);
    send(std::chrono::milliseconds(320));
    target.guarded.recordAbandoned(target.ticket);
    target.guarded.releaseSlot(target.ticket);
    CHECK(target.guarded.report().failures == 1);
}

// Guards against a target that crashes after its start, because a guard that knows nothing of it sends it
// what it takes when it is warm.
TEST_CASE("a target of which nothing is known gets no more requests than a cold one tolerates")
{
    SingleSlotTarget target;
    const auto created = util::BootClock::now();
    target.guarded.setColdStart({ std::chrono::milliseconds(1500), 14, "" });
    std::vector<util::Time> sent;
    while (util::BootClock::now() < created + std::chrono::milliseconds(1400)) {
        const auto granted = target.acquireSlot(SingleSlotTarget::request(std::chrono::milliseconds(1)));
        if (granted && *granted) {
            sent.push_back(util::BootClock::now());
            // Its connection stays open.
            target.guarded.recordSent(target.ticket);
        }
        target.guarded.releaseSlot(target.ticket);
        target.guarded.tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(sent.size() >= 14);
    CHECK(sent.size() <= 14 * 1.4 + 4);
    CHECK(target.guarded.report().coldPace == 14.0);
    CHECK(target.guarded.report().coldMs > 0);
    CHECK(target.guarded.report().limitedMs > 0);
    CHECK(target.guarded.pacedRequests() > 0);
    // The pace refuses as not run, and names itself.
    auto context = SingleSlotTarget::request(std::chrono::seconds(1));
    context.mayQueue = false;
    std::optional<Outcome<void>> outcome;
    do {
        outcome = target.acquireSlot(context);
        REQUIRE(outcome);
        target.guarded.releaseSlot(target.ticket);
    } while (*outcome);
    CHECK(outcome->error().reason == RefusalReason::NoFreeSlot);
    CHECK(outcome->error().detail == "the target is cold and gets 14 requests per second");
    // A service without the limit has none.
    target.guarded.setColdStart({});
    CHECK_FALSE(target.guarded.report().coldPace);
    CHECK(target.acquireSlot(context));
}

// Guards against a target that has just restarted and gets at once all the requests that were granted slots
// before the guard saw the restart.
TEST_CASE("requests that were granted before their target lost its connections are sent at its cold pace")
{
    boost::asio::io_context io;
    auto record = SingleSlotTarget::makeTarget();
    record.slots = 20;
    GuardedTarget guarded(io, record, 1, {});
    guarded.setColdStart({ std::chrono::seconds(3), 14, "/health" });
    REQUIRE(guarded.takeColdProbe());
    guarded.recordColdProbe(util::Duration {});
    CHECK_FALSE(guarded.coldPace());
    std::vector<std::uint64_t> tickets;
    const auto grant = [&](bool send) {
        tickets.push_back(guarded.acquireSlot(SingleSlotTarget::request(std::chrono::seconds(5)),
            [](const Outcome<void>& result) { CHECK(result); }));
        io.restart();
        io.poll();
        CHECK_FALSE(guarded.refusalBeforeSend(tickets.back()));
        if (send)
            guarded.recordSent(tickets.back());
    };
    // No connection is open, so the first request is paced, until a probe says that the target is warm.
    grant(true);
    CHECK(guarded.coldPace());
    std::this_thread::sleep_for(ColdState::minimumProbeInterval);
    REQUIRE(guarded.takeColdProbe());
    guarded.recordColdProbe(util::Duration {});
    for (int i = 0; i < 12; ++i)
        grant(i < 1);
    CHECK_FALSE(guarded.coldPace());
    // A lost connection beside one that stays open is no restart.
    guarded.recordResult(tickets[1], TargetResult::HardFailure);
    CHECK_FALSE(guarded.coldPace());
    guarded.recordResult(tickets[0], TargetResult::HardFailure);
    REQUIRE(guarded.coldPace() == 14.0);
    const auto sent = std::count_if(tickets.begin() + 2, tickets.end(),
        [&](std::uint64_t ticket) { return !guarded.refusalBeforeSend(ticket); });
    CHECK(sent == 3);
}

// Guards against urgent requests that wait behind others, and against requests held until their deadline,
// when the pace of cold targets is all the capacity that there is.
TEST_CASE("a cold target admits requests by rank, and refuses at once what its pace cannot serve in time")
{
    SingleSlotTarget target;
    target.guarded.setColdStart({ std::chrono::seconds(3), 2, "" });
    auto late = SingleSlotTarget::request(std::chrono::milliseconds(1200));
    late.rank = 2;
    std::optional<Outcome<void>> lateOutcome;
    target.guarded.acquireSlot(late, [&](Outcome<void> outcome) { lateOutcome = outcome; });
    const auto refused = target.acquireSlot(SingleSlotTarget::request(std::chrono::milliseconds(200)));
    REQUIRE(refused);
    REQUIRE_FALSE(*refused);
    CHECK(refused->error().reason == RefusalReason::QueueFull);
    CHECK(refused->error().run == RunState::NotRun);
    auto nested = SingleSlotTarget::request({});
    nested.queueDeadline = {};
    nested.rank = internalRequestRank;
    CHECK_FALSE(target.acquireSlot(nested));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    target.guarded.tick();
    CHECK(target.latestOutcome());
    CHECK_FALSE(lateOutcome);
}
