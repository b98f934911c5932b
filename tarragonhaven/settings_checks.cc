#include "tarragonhaven/settings_checks.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace tarragonhaven {

namespace {

    constexpr double maximumLogLinesPerSecond = 1e6;
    constexpr double maximumLogBytesPerSecond = 1e9;

} // namespace

void requireNotEmpty(const std::string& value, const std::string& flag, util::Faults& faults)
{
    if (value.empty())
        faults.push_back({ flag, "is not set" });
}

Endpoint parseAddressSetting(const std::string& value, const std::string& flag, util::Faults& faults)
{
    if (value.empty()) {
        faults.push_back({ flag, "is not set" });
        return {};
    }
    const auto endpoint = parseEndpoint(value);
    if (!endpoint)
        faults.push_back({ flag, "\"" + value + "\" is not an IP address and a port" });
    return endpoint.value_or(Endpoint {});
}

LogLevel parseLogLevelSetting(const std::string& value, util::Faults& faults)
{
    if (value == "debug")
        return LogLevel::Debug;
    if (value == "info")
        return LogLevel::Info;
    if (value == "warning")
        return LogLevel::Warning;
    if (value == "error")
        return LogLevel::Error;
    faults.push_back({ "log_level", "\"" + value + "\" is not one of debug, info, warning, error" });
    return LogLevel::Info;
}

LogBudgetOptions parseLogBudgetSettings(double linesPerSecond, double bytesPerSecond, util::Faults& faults)
{
    requireRange(linesPerSecond, 1, maximumLogLinesPerSecond, "log_lines_per_second", faults);
    requireRange(bytesPerSecond, 1, maximumLogBytesPerSecond, "log_bytes_per_second", faults);
    return { linesPerSecond, bytesPerSecond };
}

std::optional<double> parseOptionalNumber(
    const std::string& value, double low, double high, const std::string& flag, util::Faults& faults)
{
    if (value.empty())
        return std::nullopt;
    double number = 0;
    if (!absl::SimpleAtod(value, &number)) {
        faults.push_back({ flag, "\"" + value + "\" is not a number" });
        return std::nullopt;
    }
    requireRange(number, low, high, flag, faults);
    return number;
}

void requireRange(double value, double low, double high, const std::string& flag, util::Faults& faults)
{
    if (!(value >= low && value <= high))
        faults.push_back({ flag, absl::StrCat("must be from ", low, " to ", high) });
}

} // namespace tarragonhaven
