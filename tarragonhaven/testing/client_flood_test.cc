// Client floods at the addresses of a node: callers that nobody controls, many at once. Each test starts the
// processes of a fleet and checks that they live, stay under bounds of memory and descriptors, and answer an
// ordinary request afterwards. Nothing is said about times or about the share of requests that is served.

#include "tarragonhaven/testing/client_flood_check.h"

using namespace tarragonhaven::testing;

namespace {

// Requests with a route cross the link between two nodes; others end at the node that they reach.
void checkRouted(const FloodPattern& pattern, const FloodBounds& bounds = {})
{
    FloodFleet fleet({ .nodes = 2 });
    checkFlood(fleet, FloodFleet::callerAddress(), pattern, bounds);
}

void checkUnrouted(const FloodPattern& pattern, const FloodBounds& bounds = {})
{
    FloodFleet fleet({ .nodes = 1 });
    checkFlood(fleet, FloodFleet::callerAddress(), pattern, bounds);
}

void checkOperators(const FloodPattern& pattern, const FloodBounds& bounds = {})
{
    FloodFleet fleet({ .nodes = 1 });
    checkFlood(fleet, FloodFleet::operatorAddress(), pattern, bounds);
}

void checkMetrics(const FloodPattern& pattern, const FloodBounds& bounds = {})
{
    FloodFleet fleet({ .nodes = 1 });
    checkFlood(fleet, FloodFleet::metricsAddress(), pattern, bounds);
}

const auto routed = FloodFleet::uploadPath();
const auto routedReads = FloodFleet::idempotentPath();
const auto largeResponses = FloodFleet::largeResponsePath(100'000);
const auto unrouted = FloodFleet::pathWithoutRoute();
const auto ready = FloodFleet::operatorPath("/ready");
const auto metrics = FloodFleet::operatorPath("/metrics");
constexpr FloodBounds largeCrowd { floodLargeCrowd, floodMachineKb };

} // namespace

// Guards against bodies that are kept in memory until their end, which never comes.

TEST_CASE("client flood: bodies in one piece that stop short at a route", "[net][flood]")
{
    checkRouted(unfinishedBody(routed, BodyPieces::One));
}

TEST_CASE("client flood: bodies in one piece that stop short without a route", "[net][flood]")
{
    checkUnrouted(unfinishedBody(unrouted, BodyPieces::One));
}

TEST_CASE("client flood: bodies in one piece that stop short at the readiness path", "[net][flood]")
{
    checkOperators(unfinishedBody(ready, BodyPieces::One));
}

TEST_CASE("client flood: bodies in small pieces that stop short at a route", "[net][flood]")
{
    checkRouted(unfinishedBody(routed, BodyPieces::Small));
}

TEST_CASE("client flood: bodies in small pieces that stop short without a route", "[net][flood]")
{
    checkUnrouted(unfinishedBody(unrouted, BodyPieces::Small));
}

TEST_CASE("client flood: bodies in small pieces that stop short at the readiness path", "[net][flood]")
{
    checkOperators(unfinishedBody(ready, BodyPieces::Small));
}

TEST_CASE("client flood: bodies in chunks of one byte that stop short at a route", "[net][flood]")
{
    checkRouted(unfinishedBody(routed, BodyPieces::OneByteChunks));
}

TEST_CASE("client flood: bodies in chunks of one byte that stop short without a route", "[net][flood]")
{
    checkUnrouted(unfinishedBody(unrouted, BodyPieces::OneByteChunks));
}

TEST_CASE("client flood: bodies in chunks of one byte that stop short at the readiness path", "[net][flood]")
{
    checkOperators(unfinishedBody(ready, BodyPieces::OneByteChunks));
}

// Guards against bodies over the limit that are read into memory before they are refused.

TEST_CASE("client flood: bodies far over the limit at a route", "[net][flood]")
{
    checkRouted(oversizedBody(routed));
}

TEST_CASE("client flood: bodies far over the limit without a route", "[net][flood]")
{
    checkUnrouted(oversizedBody(unrouted));
}

TEST_CASE("client flood: bodies far over the limit at the readiness path", "[net][flood]")
{
    checkOperators(oversizedBody(ready));
}

// Guards against heads of legal size whose parsed fields take many times that size.

TEST_CASE("client flood: heads of very many short fields at a route", "[net][flood]")
{
    checkRouted(manyShortFields(routed), largeCrowd);
}

TEST_CASE("client flood: heads of very many short fields without a route", "[net][flood]")
{
    checkUnrouted(manyShortFields(unrouted), largeCrowd);
}

TEST_CASE("client flood: heads of very many short fields at the readiness path", "[net][flood]")
{
    checkOperators(manyShortFields(ready), largeCrowd);
}

// Guards against requests and responses that are kept for a caller that reads nothing.

TEST_CASE("client flood: requests sent ahead without reading at a route", "[net][flood]")
{
    checkRouted(requestsSentAhead(routedReads));
}

TEST_CASE("client flood: requests for large responses sent ahead without reading", "[net][flood]")
{
    checkRouted(requestsSentAhead(largeResponses));
}

TEST_CASE("client flood: requests sent ahead without reading without a route", "[net][flood]")
{
    checkUnrouted(requestsSentAhead(unrouted));
}

TEST_CASE("client flood: requests sent ahead without reading at the readiness path", "[net][flood]")
{
    checkOperators(requestsSentAhead(ready));
}

TEST_CASE("client flood: requests sent ahead without reading at the metrics port", "[net][flood]")
{
    checkMetrics(requestsSentAhead(metrics));
}

// Guards against callers that hold a connection and its memory by sending very slowly.

TEST_CASE("client flood: heads that arrive byte by byte at a route", "[net][flood]")
{
    checkRouted(slowHead(routedReads), largeCrowd);
}

TEST_CASE("client flood: heads that arrive byte by byte without a route", "[net][flood]")
{
    checkUnrouted(slowHead(unrouted), largeCrowd);
}

TEST_CASE("client flood: heads that arrive byte by byte at the readiness path", "[net][flood]")
{
    checkOperators(slowHead(ready), largeCrowd);
}

TEST_CASE("client flood: heads that arrive byte by byte at the metrics port", "[net][flood]")
{
    checkMetrics(slowHead(metrics), largeCrowd);
}

TEST_CASE("client flood: bodies that arrive byte by byte at a route", "[net][flood]")
{
    checkRouted(slowBody(routed));
}

TEST_CASE("client flood: bodies that arrive byte by byte without a route", "[net][flood]")
{
    checkUnrouted(slowBody(unrouted));
}

TEST_CASE("client flood: bodies that arrive byte by byte at the readiness path", "[net][flood]")
{
    checkOperators(slowBody(ready));
}

// Guards against responses that fill the memory of the node while their callers read a byte now and then.

TEST_CASE("client flood: responses read byte by byte at a route", "[net][flood]")
{
    checkRouted(slowReader(largeResponses));
}

TEST_CASE("client flood: responses read byte by byte without a route", "[net][flood]")
{
    checkUnrouted(slowReader(unrouted));
}

TEST_CASE("client flood: responses read byte by byte at the readiness path", "[net][flood]")
{
    checkOperators(slowReader(ready));
}

TEST_CASE("client flood: responses read byte by byte at the metrics port", "[net][flood]")
{
    checkMetrics(slowReader(metrics));
}

// Guards against connections that are kept for a request whose rest never arrives.

TEST_CASE("client flood: heads that stop half-way at a route", "[net][flood]")
{
    checkRouted(halfHead(routedReads), largeCrowd);
}

TEST_CASE("client flood: heads that stop half-way without a route", "[net][flood]")
{
    checkUnrouted(halfHead(unrouted), largeCrowd);
}

TEST_CASE("client flood: heads that stop half-way at the readiness path", "[net][flood]")
{
    checkOperators(halfHead(ready), largeCrowd);
}

TEST_CASE("client flood: heads that stop half-way at the metrics port", "[net][flood]")
{
    checkMetrics(halfHead(metrics), largeCrowd);
}
