#pragma once

#include <string>

namespace tarragonhaven {

// A request of the operator thread for the state of the traffic thread.
struct StatusRequest {
    unsigned long id = 0;
    // Whether the reply is the metrics in the text exposition format or the state as a JSON object.
    bool metrics = false;
};

// The reply to the status request with the same id.
struct StatusReply {
    unsigned long id = 0;
    std::string body;
};

} // namespace tarragonhaven
