// A stand-in for a target as a process of its own. See fake_target.h.

#include "tarragonhaven/testing/fake_target.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, name, "target", "The name that answers carry.");
ABSL_FLAG(std::string, address, "", "IP number and port to serve on.");
ABSL_FLAG(std::string, control_address, "", "IP number and port for PUT /plan, GET /seen and GET /health.");
ABSL_FLAG(std::string, plan, "{}", "The first fault plan, as JSON.");

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Answers requests as a target would, with faults that are set while it runs.");
    absl::ParseCommandLine(argumentCount, arguments);
    const auto address = tarragonhaven::parseEndpoint(absl::GetFlag(FLAGS_address));
    const auto control = tarragonhaven::parseEndpoint(absl::GetFlag(FLAGS_control_address));
    if (!address || !control) {
        std::fputs("address and control_address: IP numbers and ports are needed\n", stderr);
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
