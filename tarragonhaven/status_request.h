#pragma once

#include <string>

namespace tarragonhaven {

// A request of the operator thread for the traffic thread's state, and its answer.
struct StatusRequest {
    unsigned long id = 0;
    // Whether the metrics are wanted, in the text exposition format; else the state as a JSON object.
    bool metrics = false;
};

struct StatusReply {
    unsigned long id = 0;
    std::string body;
};

} // namespace tarragonhaven
