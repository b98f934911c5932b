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

// The way of one thread to the log writer. Lines beyond the budget or the ring's bound are left out, counted
// by kind, and summed up in a line of kind "log" at most once a second. Each line gets "time", "level",
// "instance" and "kind"; the caller adds the rest. Only the producing thread calls it; a call never waits.
class LogChannel {
public:
    LogChannel(std::string instance, LogLevel threshold, const LogBudgetOptions& budget = {});

    // Logs one decision or event. `kind` is a literal. `fields` is a JSON object; it must hold no key and no
    // body.
    void write(LogLevel level, const char* kind, nlohmann::ordered_json fields);
    // Writes the summary of what was left out, when it is due. Call it some times a second.
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
    // What was left out since the last summary, by kind, and since when.
    std::map<std::string_view, std::uint64_t> m_droppedByKind;
    util::Time m_droppedSince {};
};

} // namespace tarragonhaven
