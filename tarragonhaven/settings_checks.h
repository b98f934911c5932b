#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/log_budget.h"
#include "tarragonhaven/log_line.h"
#include "util/error.h"

#include <string>

namespace tarragonhaven {

// Checks of single settings; each notes a fault under the flag's name.

void requireNotEmpty(const std::string& value, const std::string& flag, util::Faults& faults);
Endpoint parseAddressSetting(const std::string& value, const std::string& flag, util::Faults& faults);
LogLevel parseLogLevelSetting(const std::string& value, util::Faults& faults);
LogBudgetOptions parseLogBudgetSettings(double linesPerSecond, double bytesPerSecond, util::Faults& faults);
void requireRange(double value, double low, double high, const std::string& flag, util::Faults& faults);

} // namespace tarragonhaven
