#pragma once

#include <string>

namespace tarragonhaven {

// A request of the operator thread for the traffic thread's state, and its answer.
struct StatusRequest {
    unsigned long number = 0;
};

struct StatusReply {
    unsigned long number = 0;
    // The state as a JSON object.
    std::string json;
    // The metrics in the text exposition format.
    std::string metrics;
};

} // namespace tarragonhaven
