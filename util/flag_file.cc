#include "util/flag_file.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>
#include <fstream>

namespace util {

namespace {

    // Sets the flag that `line` names. Returns an error message, or an empty text on success.
    std::string applyLine(const std::string& line)
    {
        const auto equals = line.find('=');
        if (line.rfind("--", 0) != 0 || equals == std::string::npos)
            return "is not of the form --name=value";
        const auto name = line.substr(2, equals - 2);
        auto* flag = absl::FindCommandLineFlag(name);
        if (!flag)
            return "names an unknown flag";
        std::string error;
        return flag->ParseFrom(line.substr(equals + 1), &error) ? std::string() : error;
    }

} // namespace

Faults applyFlagFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return { { path, "cannot be read" } };
    Faults faults;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        const auto reason = applyLine(line);
        if (!reason.empty())
            faults.push_back({ absl::StrCat(path, ":", number), reason });
    }
    return faults;
}

} // namespace util
