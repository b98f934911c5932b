#pragma once

#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "util/bounded_ring.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tarragonhaven {

// Passes the log lines of one thread to the log writer. Drops lines that exceed the budget or the capacity of
// the ring, counts them by kind, and reports the counts in a line of kind "log" at most once per second. Adds
// "time", "level", "instance" and "kind" to each line; the caller passes the other fields. Apart from the
// consumer's access to ring(), only the producer thread may use a channel. No call blocks.
class LogChannel {
public:
    LogChannel(std::string instance, LogLevel threshold, const LogBudgetOptions& budget = {});

    // Logs one decision or event. `kind` must be a string literal. `fields` is a JSON object; it must not
    // contain API keys or bodies of requests or responses.
    void write(LogLevel level, const char* kind, nlohmann::ordered_json fields);
    // Logs the summary of dropped lines when it is due. Must be called several times per second.
    void tick();
    [[nodiscard]] bool enabled(LogLevel level) const { return level >= m_threshold; }
    [[nodiscard]] util::BoundedRing<LogLine>& ring() { return m_ring; }
    [[nodiscard]] std::uint64_t written() const { return m_written; }
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    bool push(LogLevel level, const char* kind, const nlohmann::ordered_json& fields);
    void recordDropped(const char* kind, util::Time now);
    void writeSummary(util::Time now);

    std::string m_instance;
    LogLevel m_threshold;
    LogBudget m_budget;
    util::BoundedRing<LogLine> m_ring;
    std::uint64_t m_written = 0;
    std::uint64_t m_dropped = 0;
    // Lines dropped since the last summary, by kind, and the time of the first of them.
    std::map<std::string_view, std::uint64_t> m_droppedByKind;
    util::Time m_droppedSince {};
};

} // namespace tarragonhaven
