#pragma once

#include "tarragonhaven/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tarragonhaven::testing {

// A request without a body as a ScriptedTarget received it.
struct ScriptedRequest {
    // The value of the request id field.
    std::string id;
    // The number of the connection, in the order in which they were accepted, and of the request on it, from
    // 0.
    int connection = 0;
    int onConnection = 0;
};

// The bytes that a ScriptedTarget writes in answer to a request.
struct ScriptedAnswer {
    enum class End {
        Keep,
        Close,
        Reset,
    };
    std::string bytes;
    // What happens to the connection after the bytes.
    End end = End::Keep;
    // Whether the target runs the request.
    bool runs = true;
};

// A target that answers each request with the bytes that a script returns, whatever they are. Reads requests
// without bodies only. Use it only on the thread of its io_context.
class ScriptedTarget {
public:
    using Script = std::function<ScriptedAnswer(const ScriptedRequest&)>;

    // Listens on a free port of the address. Throws boost::system::system_error if it cannot.
    ScriptedTarget(
        boost::asio::io_context& io, const std::string& address, std::string idField, Script script);
    ~ScriptedTarget();
    ScriptedTarget(const ScriptedTarget&) = delete;
    ScriptedTarget& operator=(const ScriptedTarget&) = delete;

    [[nodiscard]] Endpoint address() const;
    // Returns how often each request id ran.
    [[nodiscard]] const std::map<std::string, int>& runs() const;

private:
    class Rep;
    class Session;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
