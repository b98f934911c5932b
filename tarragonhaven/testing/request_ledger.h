#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A request as its caller saw it.
struct LedgerEntry {
    std::string id;
    std::string organisation;
    bool idempotent = true;
    std::chrono::steady_clock::time_point sent {};
    std::chrono::steady_clock::time_point ended {};
    // 0 when the connection ended without an answer.
    int status = 0;
    // Whether the answer came to its announced end, and whether what it holds belongs to this request.
    bool complete = false;
    bool matchesRequest = false;
};

// A limit that holds over all nodes: at most `most` requests in any span of `window`.
struct WindowLimit {
    std::string organisation;
    std::chrono::milliseconds window {};
    std::size_t maximumRequests = 0;
};

// What callers were told and what targets ran, and what of it must not be. Callers on any thread add to it.
class RequestLedger {
public:
    using Runs = std::map<std::string, int>;

    void add(LedgerEntry entry);
    [[nodiscard]] std::vector<LedgerEntry> entries() const;
    // Adds what a target has run, by request.
    void addRuns(const Runs& runs);

    // Every promise that was broken, in words: a request that must not run twice and did, a refusal that says
    // "not run" of one that ran, a whole answer that is not the caller's own, a limit that was exceeded.
    [[nodiscard]] std::vector<std::string> violations(const std::vector<WindowLimit>& limits) const;

private:
    [[nodiscard]] int runCount(const std::string& id) const;
    void checkLimit(const WindowLimit& limit, std::vector<std::string>& violations) const;

    mutable std::mutex m_mutex;
    std::vector<LedgerEntry> m_entries;
    Runs m_runs;
};

} // namespace tarragonhaven::testing
