#pragma once

#include "tarragonhaven/endpoint.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A request that a DirectedTarget has received completely.
struct DirectedRun {
    std::string id;
    std::chrono::steady_clock::time_point begin;
    // When the response was about to be written, or the request was given up; the epoch while it runs.
    std::chrono::steady_clock::time_point end;
    // Whether the connection was closed before the response.
    bool cancelled = false;
};

// A target that treats each request as the segments of its path say: "wN" waits N ms, "sN" responds with N
// bytes, "chunked" sends them in chunks, "cut" closes the connection in the middle of them, and "other"
// responds with the id of another request. Serves each connection on a thread of its own.
class DirectedTarget {
public:
    // Listens on a free port of the loopback address. `idField` names the field with the request id.
    explicit DirectedTarget(const std::string& idField);
    ~DirectedTarget();
    DirectedTarget(const DirectedTarget&) = delete;
    DirectedTarget& operator=(const DirectedTarget&) = delete;

    [[nodiscard]] Endpoint address() const;
    // Returns the requests in the order of arrival.
    [[nodiscard]] std::vector<DirectedRun> runs() const;
    // Returns the body of the response to a request, which depends on its id.
    static std::string bodyFor(const std::string& id, std::size_t bytes);

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
