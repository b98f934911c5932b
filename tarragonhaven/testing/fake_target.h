#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/testing/fault_plan.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// What a fake target has seen.
struct TargetStats {
    long requests = 0;
    int maxConcurrentRequests = 0;
    long crashes = 0;
    // How often each idempotency key, and each "Request-Mark" field, was run.
    std::map<std::string, int> runs;
    // Every header line of the latest requests, to look for what must not be there.
    std::vector<std::string> headerLines;
};

// A target over HTTP/1.1 with a thread of its own. It answers GET /.../bytes/N with N bytes and any other
// request with a small JSON document that names the target, the path and the length of the request's body. A
// request counts as run once its head was read. Control, when there is a control address:
//   PUT /plan with a FaultPlan as JSON;  GET /seen;  GET /health
class FakeTarget {
public:
    // With a dialect, answers repeat the request's id and are signed, a request that is meant for another
    // target is told so, and runs are counted by the request's id.
    FakeTarget(std::string name, const Endpoint& address, HeaderNames headerNames = {});
    ~FakeTarget();
    FakeTarget(const FakeTarget&) = delete;
    FakeTarget& operator=(const FakeTarget&) = delete;

    // Opens an HTTP endpoint for control from outside the process.
    void openControl(const Endpoint& address);
    void setPlan(const FaultPlan& plan);
    [[nodiscard]] TargetStats stats() const;

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
