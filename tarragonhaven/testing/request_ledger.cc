#include "tarragonhaven/testing/request_ledger.h"

#include <algorithm>
#include <set>

namespace tarragonhaven::testing {

namespace {

    // Statuses that guarantee that the request has not run and will not run.
    const std::set<int> notRunStatuses { 408, 421, 429, 503 };
    constexpr int okStatus = 200;

} // namespace

void RequestLedger::add(LedgerEntry entry)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(std::move(entry));
}

std::vector<LedgerEntry> RequestLedger::entries() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries;
}

void RequestLedger::addRuns(const Runs& runs)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, count] : runs)
        m_runs[id] += count;
}

int RequestLedger::runCount(const std::string& id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? 0 : found->second;
}

std::vector<std::string> RequestLedger::findViolations(const std::vector<WindowLimit>& limits) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> violations;
    for (const auto& entry : m_entries) {
        const int runs = runCount(entry.id);
        if (!entry.idempotent && runs > 1)
            violations.push_back(entry.id + ": ran " + std::to_string(runs) + " times");
        if (!entry.idempotent && runs > 0 && notRunStatuses.contains(entry.status))
            violations.push_back(entry.id + ": was refused with status " + std::to_string(entry.status)
                + " although a target ran it");
        if (entry.status == okStatus && entry.complete && !entry.matchesRequest)
            violations.push_back(entry.id + ": got the response to another request");
        if (entry.status == okStatus && entry.complete && runs == 0)
            violations.push_back(entry.id + ": got a response although no target ran it");
    }
    for (const auto& limit : limits)
        checkLimit(limit, violations);
    return violations;
}

void RequestLedger::checkLimit(const WindowLimit& limit, std::vector<std::string>& violations) const
{
    std::vector<std::chrono::steady_clock::time_point> ran;
    for (const auto& entry : m_entries) {
        if (entry.organisation == limit.organisation && runCount(entry.id) > 0)
            ran.push_back(entry.sent);
    }
    std::sort(ran.begin(), ran.end());
    std::size_t first = 0;
    std::size_t observedMaximum = 0;
    for (std::size_t last = 0; last < ran.size(); ++last) {
        while (ran[last] - ran[first] >= limit.window)
            ++first;
        observedMaximum = std::max(observedMaximum, last - first + 1);
    }
    if (observedMaximum > limit.maximumRequests)
        violations.push_back(limit.organisation + ": " + std::to_string(observedMaximum)
            + " requests ran within one window, which exceeds the limit of "
            + std::to_string(limit.maximumRequests));
}

} // namespace tarragonhaven::testing
