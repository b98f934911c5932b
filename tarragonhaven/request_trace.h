#pragma once

#include "tarragonhaven/log_record.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace tarragonhaven {

// What the logs of a fleet tell of one request.
struct RequestTrace {
    std::string request;
    // The lines about the request, in order of time; clocks of nodes may differ.
    std::vector<LogRecord> steps;
    // How the requests ended that targets made under this one: those whose ids are this one's, a dot and
    // more.
    std::vector<LogRecord> nestedRequests;
    // What the nodes that took part believed about targets, limits and the store around that time.
    std::vector<LogRecord> stateRecords;
    // What the caller got, and why, in words.
    std::string outcome;
    std::string cause;
    // What the logs at hand do not say.
    std::vector<std::string> missing;
};

// Gathers the lines about one request from the logs of any number of nodes, in any order:
//
//   RequestStoryBuilder builder("9c41d07b");
//   for (const auto& line : lines)
//       builder.note(line);
//   const auto story = builder.finish();
//
// Lines about other requests are passed over unread. Of lines about beliefs the latest `mostBeliefs` are
// kept, so memory is bounded, whatever is read.
class RequestTraceBuilder {
public:
    static constexpr std::size_t maximumStateRecords = 200'000;

    explicit RequestTraceBuilder(std::string request);

    // Takes in one line. Returns whether it is about the request.
    bool addLogLine(std::string_view line);
    [[nodiscard]] RequestTrace finish() const;

private:
    std::string m_request;
    std::vector<LogRecord> m_steps;
    std::vector<LogRecord> m_nestedRequests;
    std::deque<LogRecord> m_stateRecords;
    bool m_stateRecordsDropped = false;
};

// The story as lines for people, and as a JSON object.
std::string toText(const RequestTrace& trace);
nlohmann::ordered_json toJson(const RequestTrace& trace);

} // namespace tarragonhaven
