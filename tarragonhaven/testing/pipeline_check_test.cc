#include "tarragonhaven/testing/pipeline_check.h"

#include <catch2/catch.hpp>

namespace tarragonhaven::testing {

namespace {

    using std::chrono::milliseconds;

    PipelinedRequest makeRequest(const std::string& id, bool idempotent)
    {
        PipelinedRequest request { { id, "harbour", idempotent }, id };
        request.entry.status = 200;
        request.entry.complete = true;
        return request;
    }

    // Three requests, the second of which is not idempotent, that arrive at 0, 10 and 20 ms. Each run takes
    // at least 3 ms.
    PipelineObservations observe()
    {
        PipelineObservations observations;
        observations.batches
            = { { { makeRequest("a", true), makeRequest("b", false), makeRequest("c", true) }, {} } };
        const std::chrono::steady_clock::time_point start {};
        observations.arrivals["t"] = { { "a", start }, { "b", start + milliseconds(10) } };
        observations.arrivals["u"] = { { "c", start + milliseconds(20) } };
        observations.shortestRun = milliseconds(3);
        return observations;
    }

} // namespace

// Guards against a check that finds nothing.
TEST_CASE("pipelined requests that are answered or run out of order are found")
{
    CHECK(findPipelineViolations(observe()).empty());
    auto swapped = observe();
    std::swap(swapped.batches[0].requests[0].answeredId, swapped.batches[0].requests[2].answeredId);
    CHECK(findPipelineViolations(swapped).size() == 2);
    auto unanswered = observe();
    unanswered.batches[0].requests[2] = { { "c", "harbour", true }, "" };
    CHECK(findPipelineViolations(unanswered).empty());
    auto behindClose = observe();
    behindClose.batches[0].closing = 1;
    CHECK(findPipelineViolations(behindClose).size() == 1);
    auto ahead = observe();
    ahead.arrivals["t"][1].at = ahead.arrivals["t"][0].at + milliseconds(2);
    CHECK(findPipelineViolations(ahead).size() == 1);
    auto beside = observe();
    beside.arrivals["u"][0].at = beside.arrivals["t"][1].at + milliseconds(1);
    CHECK(findPipelineViolations(beside).size() == 1);
    beside.batches[0].requests[1].entry.status = 504;
    CHECK(findPipelineViolations(beside).empty());
}

} // namespace tarragonhaven::testing
