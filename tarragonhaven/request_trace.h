#pragma once

#include "tarragonhaven/log_record.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace tarragonhaven {

// The log records of one request, gathered from the logs of a fleet, and the outcome derived from them.
struct RequestTrace {
    std::string request;
    // The log records of the request, ordered by time. The order across nodes is approximate, because their
    // clocks may differ.
    std::vector<LogRecord> steps;
    // The final records of nested requests, which targets made while they ran this one. The id of a nested
    // request is the id of this one, followed by a dot and a suffix.
    std::vector<LogRecord> nestedRequests;
    // Records of the state of the participating nodes around that time: breakers and ejections of the tried
    // targets, starts of nodes, declarations, directory, store, the fleet view (leaving instances, freshness
    // of keys, permission to serve), and dropped log lines.
    std::vector<LogRecord> stateRecords;
    // The result that the caller received, and its cause, as text for people.
    std::string outcome;
    std::string cause;
    // Descriptions of log records that should exist but are not among the given ones.
    std::vector<std::string> missing;
};

// Builds the trace of one request from the log lines of any number of nodes, given in any order:
//
//   RequestTraceBuilder builder("9c41d07b");
//   for (const auto& line : lines)
//       builder.addLogLine(line);
//   const auto trace = builder.finish();
//
// Skips lines about other requests without parsing them. Keeps only the `maximumStateRecords` records of
// node state that were added last, which bounds the use of memory regardless of the size of the logs.
class RequestTraceBuilder {
public:
    static constexpr std::size_t maximumStateRecords = 200'000;

    explicit RequestTraceBuilder(std::string request);

    // Adds a log line. Returns whether it is a record of the request itself.
    bool addLogLine(std::string_view line);
    // Returns the trace of the lines added so far.
    [[nodiscard]] RequestTrace finish() const;

private:
    std::string m_request;
    std::vector<LogRecord> m_steps;
    std::vector<LogRecord> m_nestedRequests;
    std::deque<LogRecord> m_stateRecords;
    bool m_stateRecordsDropped = false;
};

// Formats a trace as lines for people, and as a JSON object.
std::string toText(const RequestTrace& trace);
nlohmann::ordered_json toJson(const RequestTrace& trace);

} // namespace tarragonhaven
