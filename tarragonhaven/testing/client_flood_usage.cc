#include "tarragonhaven/testing/client_flood_usage.h"

#include <absl/strings/str_cat.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace tarragonhaven::testing {

MemoryUsage memoryUsage(pid_t process)
{
    MemoryUsage usage;
    std::ifstream status(absl::StrCat("/proc/", process, "/status"));
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:")
            status >> usage.residentKb;
        else if (word == "VmHWM:")
            status >> usage.peakKb;
    }
    return usage;
}

int openDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(absl::StrCat("/proc/", process, "/fd"), error);
    return error ? 0 : static_cast<int>(std::distance(begin(entries), end(entries)));
}

} // namespace tarragonhaven::testing
