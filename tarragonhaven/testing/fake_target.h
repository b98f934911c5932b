#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/target_notice.h"
#include "tarragonhaven/testing/fault_plan.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A request that arrived at a target, by its request id.
struct TargetArrival {
    std::string requestId;
    std::chrono::steady_clock::time_point at {};
};

// The requests that a fake target has received since it was created. A crash does not reset these counts.
struct TargetStats {
    long requests = 0;
    int maxConcurrentRequests = 0;
    long crashes = 0;
    // The number of requests that ran, by each value of the fields "Idempotency-Key" and "Request-Mark" and
    // of the configured request id field.
    std::map<std::string, int> runs;
    // The requests with a request id, in the order of arrival, whether or not they ran.
    std::vector<TargetArrival> arrivals;
    // When the target started: at its creation and after each crash.
    std::vector<std::chrono::steady_clock::time_point> starts;
    // The header lines of the requests, in the order of arrival, up to 20,000 lines. Tests search them for
    // fields that must not reach a target, such as API keys.
    std::vector<std::string> headerLines;
};

// An HTTP/1.1 target for tests, on its own thread, whose faults are set by a FaultPlan. A request for
// /.../bytes/N gets N bytes; any other request gets a small JSON document with the target's name, the path,
// the length of the request's body and its Request-Mark field. A response is chunked if the path contains
// "chunked". A request counts as run once it has been read, even if the plan then makes it fail; a
// request for another target does not count. Request bodies are limited to 64,000,000 bytes.
//
// The optional control endpoint serves:
//   PUT /plan     replaces the fault plan by the FaultPlan in the body, as JSON
//   GET /seen     returns the counts of TargetStats as JSON, without the header lines
//   GET /health   returns "healthy" or "failing" as text
class FakeTarget {
public:
    // Throws std::runtime_error if it cannot listen on the address. Header names that are not empty have
    // these effects: `requestId` is repeated in the response, and runs are counted by it; `signature` is set
    // to the target's name; `requestLimit` and `leavingNotice` are set as setNotice() says; a request whose
    // `expectedTarget` names another target gets status 421; if `coldRemaining` is not empty, GET /health at
    // the target's address states in this field how long the target remains cold, and is not counted.
    FakeTarget(std::string name, const Endpoint& address, HeaderNames headerNames = {});
    ~FakeTarget();
    FakeTarget(const FakeTarget&) = delete;
    FakeTarget& operator=(const FakeTarget&) = delete;

    // Opens the control endpoint. Throws std::runtime_error if it cannot listen on the address.
    void openControl(const Endpoint& address);
    void setPlan(const FaultPlan& plan);
    // Sets what every response announces from now on; a new target announces nothing.
    void setNotice(const TargetNotice& notice);
    // Closes all connections and starts again after `downtime`.
    void restart(std::chrono::milliseconds downtime);
    // Makes the target cold for a time, as its plan describes, without a start.
    void becomeCold(std::chrono::milliseconds duration);
    [[nodiscard]] TargetStats stats() const;

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
