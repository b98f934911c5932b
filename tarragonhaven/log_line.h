#pragma once

#include <string>

namespace tarragonhaven {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// One line of the log, formatted as a JSON object without line breaks.
struct LogLine {
    LogLevel level = LogLevel::Info;
    std::string json;
};

} // namespace tarragonhaven
