#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// A parsed line of a node's log.
struct LogRecord {
    absl::Time time;
    std::string instance;
    std::string kind;
    // The id of the request that the line is about; empty for lines about the node's state.
    std::string request;
    // All fields of the line, including those above.
    nlohmann::json fields;

    // Returns a field as text: strings without quotes, other values as JSON. Empty if the field is missing.
    [[nodiscard]] std::string text(const char* name) const;
};

// Parses a log line. Skips text before the first brace, which log collectors may add. Returns nothing if the
// rest is not a JSON object with a time and a kind.
std::optional<LogRecord> parseLogRecord(std::string_view line);

} // namespace tarragonhaven
