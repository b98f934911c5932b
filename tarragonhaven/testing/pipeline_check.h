#pragma once

#include "tarragonhaven/testing/fake_target.h"
#include "tarragonhaven/testing/request_ledger.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A request that was sent together with others, and the request id in the response that came at its place.
struct PipelinedRequest {
    LedgerEntry entry;
    std::string answeredId;
};

// Requests that were sent at once on one connection, in their order.
struct PipelinedBatch {
    std::vector<PipelinedRequest> requests;
    // The request that asks to close the connection after its response.
    std::optional<std::size_t> closing;
};

// What a soak observed of pipelined requests.
struct PipelineObservations {
    std::vector<PipelinedBatch> batches;
    // The requests that arrived, by target name.
    std::map<std::string, std::vector<TargetArrival>> arrivals;
    // No target responds earlier than this after the arrival of a request.
    std::chrono::microseconds shortestRun {};
};

// Returns a description of each violation: a response that came at the place of another one, a request that
// reached a target although it was sent behind one that closes the connection, and a request that is not
// idempotent and ran beside one that was answered before or after it.
std::vector<std::string> findPipelineViolations(const PipelineObservations& observations);

} // namespace tarragonhaven::testing
