#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/revision.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven::testing {

// An HTTP server that imitates the platform's configuration service and its list of instances, for tests and
// demos. It keeps all published versions in memory and runs on its own thread. Nodes use these requests:
//
//   GET /v1/values/NAME              returns the value, and its revision in the header field Revision
//   GET /v1/watch?after=N&waitMs=M   waits up to M ms until the index has a revision greater than N, then
//                                    returns {"revision":R}
//   GET /v1/instances                returns {"instances":[{"name":"...","state":"leaving"}]}, which lists
//                                    the leaving instances only; the real platform also lists those whose
//                                    state is "live"
//
// Operators and tests also use these:
//
//   PUT /v1/values/NAME              publishes the body as a new version of the value
//   PUT /v1/leaving                  sets the leaving instances, as comma-separated names
//   PUT /v1/away                     makes the service unavailable (1) or available (0)
//   GET /v1/reads                    returns the number of reads so far
//
// Responses close the connection. Request bodies are limited to 4,000,000 bytes.
class FakePlatform {
public:
    // Throws std::runtime_error if it cannot listen on the address.
    explicit FakePlatform(const Endpoint& address);
    ~FakePlatform();
    FakePlatform(const FakePlatform&) = delete;
    FakePlatform& operator=(const FakePlatform&) = delete;

    // Publishes all values together under one new revision. Returns the revision.
    Revision publish(const std::map<std::string, std::string>& values);
    void setLeaving(const std::set<std::string>& instances);
    // While unavailable, the service closes the connections of nodes without a response, including those of
    // waiting watches. PUT requests and GET /v1/reads still get responses.
    void setUnavailable(bool unavailable);
    // Serves the values as they were at `revision`, although newer ones are published. With 0, serves the
    // newest values again.
    void pinRevision(Revision revision);
    // Returns the number of reads by nodes so far. A watch counts once, however long it waits.
    [[nodiscard]] long reads() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
