// Runs a stand-in for the platform's configuration service as a separate process, until SIGTERM or SIGINT.
// See fake_platform.h for the requests that it serves. Exits with 2 if the address is not valid.

#include "tarragonhaven/testing/fake_platform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

ABSL_FLAG(std::string, address, "", "IP address and port to listen on.");
ABSL_FLAG(std::string, values, "",
    "Directory whose files are published at start; the file names are the value names.");

namespace {

std::map<std::string, std::string> readValues(const std::string& directory)
{
    std::map<std::string, std::string> values;
    for (const auto& file : std::filesystem::directory_iterator(directory)) {
        std::ifstream stream(file.path());
        values[file.path().filename()] = std::string(std::istreambuf_iterator<char>(stream), {});
    }
    return values;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage("Serves published configuration values for reading and watching.");
    absl::ParseCommandLine(argumentCount, arguments);
    const auto address = tarragonhaven::parseEndpoint(absl::GetFlag(FLAGS_address));
    if (!address) {
        std::fputs("address must be an IP address and a port, such as 127.0.0.1:18000\n", stderr);
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    tarragonhaven::testing::FakePlatform platform(*address);
    if (!absl::GetFlag(FLAGS_values).empty())
        platform.publish(readValues(absl::GetFlag(FLAGS_values)));
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
