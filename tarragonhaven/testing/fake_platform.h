#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/revision.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace tarragonhaven::testing {

// The platform's read-and-watch service and its list of instances, with a thread of its own:
//
//   GET /v1/values/NAME              the value; its revision in the field Revision
//   GET /v1/watch?after=N&waitMs=M   waits until the index is newer than N, at most M; answers {"revision":R}
//   GET /v1/instances                {"instances":[{"name":"...","state":"live"|"leaving"}]}
//   PUT /v1/values/NAME, PUT /v1/leaving (names with commas), PUT /v1/away (0 or 1), GET /v1/reads
//
// The last line is what operators and tests use; the system only reads.
class FakePlatform {
public:
    explicit FakePlatform(const Endpoint& address);
    ~FakePlatform();
    FakePlatform(const FakePlatform&) = delete;
    FakePlatform& operator=(const FakePlatform&) = delete;

    // Publishes values together under a new revision, which is returned.
    Revision publish(const std::map<std::string, std::string>& values);
    void setLeaving(const std::set<std::string>& instances);
    // Closes every connection without an answer.
    void setUnavailable(bool unavailable);
    // Serves the values as they were at `revision`; 0 ends it.
    void pinRevision(Revision revision);
    // The reads that were counted, a waiting watch as one.
    [[nodiscard]] long reads() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
