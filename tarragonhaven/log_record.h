#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// One line of a node's log, read back.
struct LogRecord {
    absl::Time time;
    std::string instance;
    std::string kind;
    // The request that the line is about, or empty.
    std::string request;
    // The whole line.
    nlohmann::json fields;

    // A field as text; numbers as they are written. Empty when it is missing.
    [[nodiscard]] std::string text(const char* name) const;
};

// Reads a line. What stands before its first brace, as log collectors put it there, is passed over. Nothing
// for a line that is not one of a node's log.
std::optional<LogRecord> parseLogRecord(std::string_view line);

} // namespace tarragonhaven
