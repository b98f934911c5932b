#pragma once

#include "tarragonhaven/log_record.h"

#include <cstdint>
#include <map>
#include <string>

namespace tarragonhaven {

// Counts the outcomes of requests in the logs of any number of nodes, and keeps the id of one example request
// per outcome, as a starting point when no request id is known. Memory use grows with the number of distinct
// outcomes, not of requests.
class OutcomeSummary {
public:
    struct Row {
        std::uint64_t count = 0;
        std::string example;
    };

    // Counts a log line if it records the end of a request; ignores all other lines.
    void addLogLine(std::string_view line);
    // Returns the counts by outcome: a response status, or a refusal reason with the run state, or a
    // disconnected caller.
    [[nodiscard]] const std::map<std::string, Row>& rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
};

} // namespace tarragonhaven
