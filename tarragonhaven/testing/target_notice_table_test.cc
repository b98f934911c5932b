#include "tarragonhaven/target_notice_table.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

const util::Time start { std::chrono::hours(1) };

Target target(std::int64_t startTimeMs)
{
    Target result;
    result.name = { "t" };
    result.startTimeMs = startTimeMs;
    return result;
}

TargetReport report(std::int64_t startTimeMs, bool limitKnown, std::optional<double> limit)
{
    TargetReport result;
    result.startTimeMs = startTimeMs;
    result.limitKnown = limitKnown;
    result.requestLimit = limit;
    return result;
}

} // namespace

TEST_CASE("the limit of a target holds until its guard reports another one, or a later start")
{
    TargetNoticeTable notices;
    notices.record({ "t" }, report(100, true, 2.0), start);
    CHECK(notices.find(target(100)).requestsPerSecond == 2.0);
    CHECK_FALSE(notices.find(target(200)).requestsPerSecond);
    SECTION("a guard that has restarted does not know the limit")
    {
        notices.record({ "t" }, report(100, false, std::nullopt), start);
        CHECK(notices.find(target(100)).requestsPerSecond == 2.0);
    }
    SECTION("the target changes or withdraws its limit")
    {
        notices.record({ "t" }, report(100, true, 5.0), start);
        CHECK(notices.find(target(100)).requestsPerSecond == 5.0);
        notices.record({ "t" }, report(100, true, std::nullopt), start);
        CHECK_FALSE(notices.find(target(100)).requestsPerSecond);
    }
    SECTION("the target restarts, and a late report on its earlier start arrives")
    {
        notices.record({ "t" }, report(200, true, std::nullopt), start);
        notices.record({ "t" }, report(100, true, 2.0), start);
        CHECK_FALSE(notices.find(target(200)).requestsPerSecond);
        CHECK_FALSE(notices.find(target(100)).requestsPerSecond);
    }
    SECTION("notices expire")
    {
        notices.removeExpired(start + TargetNoticeTable::retention);
        CHECK(notices.find(target(100)).requestsPerSecond);
        notices.removeExpired(start + TargetNoticeTable::retention + std::chrono::seconds(1));
        CHECK_FALSE(notices.find(target(100)).requestsPerSecond);
    }
}

TEST_CASE("an announced stop of a target holds after a restart of its guard, until a later start")
{
    TargetNoticeTable notices;
    CHECK(notices.empty());
    auto leaving = report(100, true, std::nullopt);
    leaving.announcedLeaving = true;
    notices.record({ "t" }, leaving, start);
    CHECK(notices.find(target(100)).leaving);
    notices.record({ "t" }, report(100, false, std::nullopt), start);
    notices.record({ "t" }, report(100, true, std::nullopt), start);
    CHECK(notices.find(target(100)).leaving);
    notices.record({ "t" }, report(200, true, std::nullopt), start);
    CHECK_FALSE(notices.find(target(200)).leaving);
    notices.record({ "t" }, leaving, start);
    CHECK_FALSE(notices.find(target(200)).leaving);
}
