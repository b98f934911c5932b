#pragma once

#include "tarragonhaven/endpoint.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tarragonhaven::testing {

// A target that responds to each request before it has read the body, and then closes the connection with the
// rest of the body unread, which resets it. Serves one connection after another on a thread of its own.
class EarlyTarget {
public:
    // Returns the bytes of the response to the request with this id.
    using Script = std::function<std::string(const std::string& id)>;

    // Listens on a free port of the loopback address. `idField` names the field with the request id. Reads
    // `bytesBeforeResponse` bytes of a request, including its head, before it responds.
    EarlyTarget(const std::string& idField, std::size_t bytesBeforeResponse, Script script);
    ~EarlyTarget();
    EarlyTarget(const EarlyTarget&) = delete;
    EarlyTarget& operator=(const EarlyTarget&) = delete;

    [[nodiscard]] Endpoint address() const;
    // Returns the number of connections that have been reset.
    [[nodiscard]] int resets() const;

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
