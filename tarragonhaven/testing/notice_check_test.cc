// Tests the checks of a soak on notices with observations that keep or break each bound.

#include "tarragonhaven/testing/notice_check.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;
using namespace tarragonhaven::testing;

namespace {

std::chrono::steady_clock::time_point at(int milliseconds)
{
    return std::chrono::steady_clock::time_point(std::chrono::hours(1))
        + std::chrono::milliseconds(milliseconds);
}

// Observations of one target, "t", in a period of 20 s.
class Observed {
public:
    explicit Observed(const TargetNotice& notice)
        : m_notice(notice)
    {
        observations.periods.push_back({ "t", notice, at(0), at(20'000) });
    }

    // Adds a response with the notice that `node` passed on at `time`.
    void passOn(int node, int time) { addRequest(node, time, m_notice); }

    // Adds a request without a response that was sent through `node` and arrived at `time`.
    void arrive(int node, int time)
    {
        observations.arrivals["t"].push_back({ addRequest(node, time, {}), at(time) });
    }

    [[nodiscard]] std::size_t violations() const { return findNoticeViolations(observations).size(); }

    NoticeObservations observations;

private:
    std::string addRequest(int node, int time, const TargetNotice& notice)
    {
        LedgerEntry request;
        request.id = "r" + std::to_string(observations.requests.size());
        request.sent = at(time);
        request.ended = at(time);
        request.complete = true;
        request.node = node;
        request.target = "t";
        request.notice = notice;
        observations.requests.push_back(request);
        return request.id;
    }

    TargetNotice m_notice;
};

// Adds `count` arrivals through `node` that are 100 ms apart.
void arriveOften(Observed& observed, int node, int from, int count)
{
    for (int i = 0; i < count; ++i)
        observed.arrive(node, from + 100 * i);
}

} // namespace

TEST_CASE("the notice check counts requests in a window from nodes that have passed a limit on")
{
    const TargetNotice limit { 1.0, false, false };
    SECTION("eleven requests in 4 s keep a limit of one per second, twelve do not")
    {
        Observed observed(limit);
        observed.passOn(1, 100);
        arriveOften(observed, 1, 5000, 11);
        CHECK(observed.violations() == 0);
        observed.arrive(1, 8999);
        CHECK(observed.violations() == 1);
    }
    SECTION("the requests of all nodes that have passed the limit on are added up, others do not count")
    {
        Observed observed(limit);
        observed.passOn(1, 100);
        observed.passOn(2, 4600);
        arriveOften(observed, 1, 5000, 6);
        arriveOften(observed, 2, 5050, 6);
        arriveOften(observed, 3, 5050, 20);
        CHECK(observed.violations() == 0);
        arriveOften(observed, 2, 5700, 1);
        CHECK(observed.violations() == 1);
    }
    SECTION("a limit does not bind within three seconds, and an interruption excuses its node")
    {
        Observed observed(limit);
        observed.passOn(1, 100);
        arriveOften(observed, 1, 100, 29);
        CHECK(observed.violations() == 0);
        arriveOften(observed, 1, 5000, 20);
        CHECK(observed.violations() == 1);
        observed.observations.interruptions.push_back({ 1, at(4900) });
        CHECK(observed.violations() == 0);
    }
}

TEST_CASE("the notice check finds requests to a leaving target from nodes that have passed its notice on")
{
    Observed observed({ std::nullopt, false, true });
    observed.passOn(1, 100);
    observed.arrive(1, 2100);
    observed.arrive(2, 9000);
    CHECK(observed.violations() == 0);
    observed.arrive(1, 2101);
    CHECK(observed.violations() == 1);
    observed.observations.interruptions.push_back({ 1, at(1000) });
    CHECK(observed.violations() == 0);
}
