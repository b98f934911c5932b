#include "tarragonhaven/memory/heap_trim_policy.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

} // namespace

// Guards against a process that stays at the peak of a client flood, and against one that trims all the time.
TEST_CASE("the heap is trimmed once after a client flood, and not while memory rises")
{
    HeapTrimPolicy policy;
    policy.recordTrimmed(12 * mebibyte);
    int trimmed = 0;
    for (std::size_t held = 12; held <= 40; ++held)
        trimmed += policy.due(held * mebibyte) ? 1 : 0;
    CHECK(trimmed == 0);
    CHECK(policy.due(40 * mebibyte));
    policy.recordTrimmed(14 * mebibyte);
    for (int second = 0; second < 100; ++second)
        CHECK_FALSE(policy.due(14 * mebibyte));
}

TEST_CASE("memory that trimming does not free is not trimmed again")
{
    HeapTrimPolicy policy;
    policy.recordTrimmed(12 * mebibyte);
    CHECK_FALSE(policy.due(100 * mebibyte));
    CHECK(policy.due(100 * mebibyte));
    policy.recordTrimmed(100 * mebibyte);
    for (int second = 0; second < 100; ++second)
        CHECK_FALSE(policy.due(100 * mebibyte));
}
