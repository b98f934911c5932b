// Checks a pacer against the bound that it states, with random requests and changes of the limit.

#include "tarragonhaven/request_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace tarragonhaven;

namespace {

const util::Time start { std::chrono::hours(1) };

} // namespace

TEST_CASE("a pacer sends no more than its limit and one second's worth of it in any window")
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        const double limit = std::uniform_real_distribution<double>(0, 8)(random);
        CAPTURE(seed, limit);
        const double rate = std::max(limit, RequestPacer::minimumRate);
        const double burst = std::max(1.0, rate);
        RequestPacer pacer(limit, start);
        std::vector<double> sent;
        auto now = start;
        while (now < start + std::chrono::seconds(60)) {
            now += std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 300)(random));
            if (random() % 50 == 0)
                now += std::chrono::seconds(3);
            for (auto wanted = random() % 6; wanted > 0 && pacer.available(now) > 0; --wanted) {
                pacer.take(now);
                sent.push_back(util::toSeconds(now - start));
            }
        }
        for (std::size_t first = 0; first < sent.size(); ++first) {
            for (std::size_t last = first; last < sent.size(); ++last) {
                const auto count = static_cast<double>(last - first + 1);
                REQUIRE(count <= rate * (sent[last] - sent[first]) + burst + 1e-3);
            }
        }
    }
}

TEST_CASE("a pacer starts without tokens, also if its limit changes")
{
    RequestPacer pacer(2, start);
    CHECK(pacer.available(start) == 0);
    CHECK(pacer.timeUntil(1, start) == std::chrono::milliseconds(500));
    CHECK(pacer.timeUntil(3, start) == std::chrono::milliseconds(1500));
    CHECK(pacer.available(start + std::chrono::milliseconds(500)) == 1);
    CHECK(pacer.available(start + std::chrono::seconds(10)) == 2);
    pacer.setLimit(1, start + std::chrono::seconds(10));
    CHECK(pacer.limit() == 1);
    CHECK(pacer.available(start + std::chrono::seconds(10)) == 1);
    pacer.setLimit(8, start + std::chrono::seconds(10));
    CHECK(pacer.available(start + std::chrono::seconds(10)) == 1);
}

TEST_CASE("a pacer with a limit of zero lets a request through now and then")
{
    RequestPacer pacer(0, start);
    CHECK(pacer.limit() == 0);
    CHECK(pacer.timeUntil(1, start) == std::chrono::seconds(4));
}
