// The retries of a service over all nodes, checked against the rule itself.

#include "tarragonhaven/testing/retry_storm.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;
using namespace tarragonhaven::testing;

namespace {

constexpr double quiet = 0.02;
const FleetPolicy policy { .retrySlack = 186 };

RetryStorm::Shape shapeOf(double requestsPerSecond, double nestedShare)
{
    RetryStorm::Shape shape;
    shape.fleet.nodes = 88;
    shape.fleet.policy = policy;
    shape.requestsPerSecond = requestsPerSecond;
    shape.nestedShare = nestedShare;
    return shape;
}

} // namespace

// Guards against a part of the budget that no node uses although requests need it (0.78 to 0.80 of the
// allowance were used), and against nodes that exceed it because they know the sum of the others late.
TEST_CASE("a service that sheds half of its requests gets nine tenths of its retry budget, and no more than "
          "all of it")
{
    for (const double perSecond : { 40, 189, 450 }) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            RetryStorm storm(shapeOf(perSecond, 0.3), seed);
            storm.run(20, {});
            const auto began = storm.fleet().now();
            storm.run(9, { 1.33, 0.5, quiet });
            storm.run(12, {});
            const auto use = fullestWindow(storm.outer(), policy, began, storm.fleet().now());
            CAPTURE(perSecond, seed, use.repeats, use.allowance, storm.outer().denied);
            CHECK(use.share() <= 1);
            CHECK(use.share() >= 0.9);
        }
    }
}

// Guards against nested requests of repeated runs that count as first attempts at the called service: they
// raised its allowance and came on top of its own retries.
TEST_CASE("nested requests of repeated runs stay within the retry budget of the service that they call")
{
    for (const double perSecond : { 40, 189, 450 }) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            RetryStorm storm(shapeOf(perSecond, 0.6), seed);
            storm.run(20, {});
            const auto began = storm.fleet().now();
            storm.run(9, { 1.33, 0.5, 0.5 });
            storm.run(12, {});
            const auto use = fullestWindow(storm.inner(), policy, began, storm.fleet().now());
            CAPTURE(perSecond, seed, use.repeats, use.allowance, storm.inner().denied);
            CHECK(use.share() <= 1);
        }
    }
}
