#include "util/environment_flags.h"

#include "util/check.h"
#include "util/text.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <cstdlib>

namespace util {

std::string environmentName(std::string_view prefix, std::string_view flag)
{
    return absl::AsciiStrToUpper(absl::StrCat(toAbsl(prefix), "_", toAbsl(flag)));
}

Faults applyEnvironment(std::string_view prefix, const std::vector<std::string>& flags)
{
    Faults faults;
    for (const auto& name : flags) {
        const auto variable = environmentName(prefix, name);
        const char* value = std::getenv(variable.c_str());
        if (!value)
            continue;
        auto* flag = absl::FindCommandLineFlag(name);
        TARRAGONHAVEN_CHECK(flag != nullptr, "every flag that is read from the environment is defined");
        std::string error;
        if (!flag->ParseFrom(value, &error))
            faults.push_back({ variable, error });
    }
    return faults;
}

} // namespace util
