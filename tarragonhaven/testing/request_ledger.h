#pragma once

#include "tarragonhaven/target_notice.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A request and its result as the caller saw them.
struct LedgerEntry {
    std::string id;
    std::string organisation;
    bool idempotent = true;
    std::chrono::steady_clock::time_point sent {};
    std::chrono::steady_clock::time_point ended {};
    // 0 if the connection ended without a response.
    int status = 0;
    // Whether the response arrived up to its announced end.
    bool complete = false;
    // Whether the content of the response belongs to this request.
    bool matchesRequest = false;
    // The node through which the request was sent, and the target that responded and what it announced, if
    // the caller of the request records them.
    int node = 0;
    std::string target;
    TargetNotice notice;
};

// A limit over all nodes: at most `maximumRequests` requests of the organisation in any period of length
// `window`.
struct WindowLimit {
    std::string organisation;
    std::chrono::milliseconds window {};
    std::size_t maximumRequests = 0;
};

// Collects the requests of callers and the runs that targets counted, and finds violations of the system's
// guarantees. Thread-safe.
class RequestLedger {
public:
    using Runs = std::map<std::string, int>;

    void add(LedgerEntry entry);
    [[nodiscard]] std::vector<LedgerEntry> entries() const;
    // Adds the number of times that a target ran each request, by request id.
    void addRuns(const Runs& runs);

    // Returns a description of each violation: a non-idempotent request that ran more than once, a
    // non-idempotent request that ran although it was refused as not run, a complete response that belongs to
    // another request or that no target produced, and an exceeded limit. Limits count the requests that ran,
    // each once, at the time when it was sent.
    [[nodiscard]] std::vector<std::string> findViolations(const std::vector<WindowLimit>& limits) const;

private:
    [[nodiscard]] int runCount(const std::string& id) const;
    void checkLimit(const WindowLimit& limit, std::vector<std::string>& violations) const;

    mutable std::mutex m_mutex;
    std::vector<LedgerEntry> m_entries;
    Runs m_runs;
};

} // namespace tarragonhaven::testing
