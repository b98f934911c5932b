#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/message_head.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

struct CallerResponse {
    int status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    // False when the answer ended before its announced end.
    bool complete = false;

    [[nodiscard]] std::string field(const std::string& name) const;
};

struct CallerRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HeaderField> fields;
    std::string body;
};

// A caller on one connection, with blocking calls. The connection is kept between requests and made anew when
// the other side has closed it.
class HttpCaller {
public:
    // An answer is waited for as long as `patience`.
    explicit HttpCaller(
        const Endpoint& server, std::chrono::milliseconds responseTimeout = std::chrono::seconds(60));
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    // Sends a request and reads its answer. Returns nothing when the connection failed before the answer's
    // head.
    std::optional<CallerResponse> send(const CallerRequest& request);
    // Sends bytes as they are and returns all that comes back until the other side closes or `quietMs`
    // passes.
    std::string sendRaw(const std::string& bytes, int readTimeoutMs);
    void close();

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
