#pragma once

#include "tarragonhaven/log_record.h"

#include <cstdint>
#include <map>
#include <string>

namespace tarragonhaven {

// Counts how requests ended, from the logs of any number of nodes, with the id of one request for each: where
// to begin when no id is at hand. Memory grows with the number of different ends, not of requests.
class OutcomeSummary {
public:
    struct Row {
        std::uint64_t count = 0;
        std::string example;
    };

    void addLogLine(std::string_view line);
    // By what was told: a status, or a reason and what is known of the run.
    [[nodiscard]] const std::map<std::string, Row>& rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
};

} // namespace tarragonhaven
