// Who gets a slot at a guarded target, without sockets.

#include "tarragonhaven/guarded_target.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace tarragonhaven;

namespace {

// A target with one slot and the requests that were sent to its guard.
class LoneTarget {
public:
    explicit LoneTarget(const GuardOptions& options = {})
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

    // What the guard says of a request at once: nothing while it waits.
    std::optional<Outcome<void>> enter(const RequestContext& context)
    {
        auto answer = std::make_shared<std::optional<Outcome<void>>>();
        ticket = guarded.enter(context, [answer](Outcome<void> outcome) { *answer = std::move(outcome); });
        m_last = answer;
        return settled();
    }

    // What it says by now of the request that was sent last.
    std::optional<Outcome<void>> settled()
    {
        m_io.restart();
        m_io.poll();
        return *m_last;
    }

private:
    boost::asio::io_context m_io;
    std::shared_ptr<std::optional<Outcome<void>>> m_last;

public:
    GuardedTarget guarded;
    std::uint64_t ticket = 0;
};

} // namespace

TEST_CASE("a request that may wait no longer still takes a slot that is free")
{
    for (const bool predicts : { false, true }) {
        GuardOptions options;
        options.predictWaits = predicts;
        LoneTarget target(options);
        const auto granted = target.enter(LoneTarget::request(-std::chrono::seconds(1)));
        REQUIRE(granted);
        CHECK(*granted);
        auto second = target.enter(LoneTarget::request(-std::chrono::seconds(1)));
        target.guarded.tick();
        second = target.settled();
        REQUIRE(second);
        REQUIRE_FALSE(*second);
        CHECK(second->error().run == RunState::NotRun);
    }
}

TEST_CASE("a request past its deadline gets no slot")
{
    LoneTarget target;
    auto context = LoneTarget::request(-std::chrono::seconds(1));
    context.deadline = util::BootClock::now() - std::chrono::milliseconds(1);
    target.enter(context);
    target.guarded.tick();
    const auto refused = target.settled();
    REQUIRE(refused);
    CHECK_FALSE(*refused);
}

TEST_CASE("what waits for a target that leaves is refused as not run, what is at it goes on")
{
    LoneTarget target;
    REQUIRE(target.enter(LoneTarget::request(std::chrono::seconds(5))));
    CHECK_FALSE(target.enter(LoneTarget::request(std::chrono::seconds(5))));
    target.guarded.retire();
    const auto refused = target.settled();
    REQUIRE(refused);
    REQUIRE_FALSE(*refused);
    CHECK(refused->error().reason == RefusalReason::Stopping);
    CHECK(refused->error().run == RunState::NotRun);
    CHECK(target.guarded.busy());
    const auto late = target.enter(LoneTarget::request(std::chrono::seconds(5)));
    REQUIRE(late);
    CHECK_FALSE(*late);
}
