// Runs a stand-in for a target as a separate process, until SIGTERM or SIGINT. See fake_target.h for the
// requests that it serves. Exits with 2 if an address is not valid.

#include "tarragonhaven/testing/fake_target.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, name, "target", "The target name in responses.");
ABSL_FLAG(std::string, address, "", "IP address and port to listen on.");
ABSL_FLAG(std::string, control_address, "",
    "IP address and port of the control endpoint: PUT /plan, GET /seen, GET /health.");
ABSL_FLAG(std::string, plan, "{}", "The initial fault plan, as JSON.");

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Serves requests as a target does, with faults that can be changed while it runs.");
    absl::ParseCommandLine(argumentCount, arguments);
    const auto address = tarragonhaven::parseEndpoint(absl::GetFlag(FLAGS_address));
    const auto control = tarragonhaven::parseEndpoint(absl::GetFlag(FLAGS_control_address));
    if (!address || !control) {
        std::fputs(
            "address and control_address must each be an IP address and a port, such as 127.0.0.1:18300\n",
            stderr);
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    tarragonhaven::testing::FakeTarget target(absl::GetFlag(FLAGS_name), *address);
    target.openControl(*control);
    target.setPlan(tarragonhaven::testing::parseFaultPlan(absl::GetFlag(FLAGS_plan)));
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
