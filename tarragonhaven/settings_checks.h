#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "util/error.h"

#include <optional>
#include <string>

namespace tarragonhaven {

// Functions that parse and check single settings. For an invalid value they add a fault whose path is the
// name of the flag; the returned setting must then not be used.

// Adds a fault if the value is empty.
void requireNotEmpty(const std::string& value, const std::string& flag, util::Faults& faults);
Endpoint parseAddressSetting(const std::string& value, const std::string& flag, util::Faults& faults);
LogLevel parseLogLevelSetting(const std::string& value, util::Faults& faults);
LogBudgetOptions parseLogBudgetSettings(double linesPerSecond, double bytesPerSecond, util::Faults& faults);
// Returns the number in [low, high], or nothing for an empty text.
std::optional<double> parseOptionalNumber(
    const std::string& value, double low, double high, const std::string& flag, util::Faults& faults);
// Adds a fault unless the value is in [low, high]; NaN is a fault as well.
void requireRange(double value, double low, double high, const std::string& flag, util::Faults& faults);

} // namespace tarragonhaven
