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
    // False if the response was truncated, that is, ended before its announced end.
    bool complete = false;

    // Returns the value of a header field; empty if there is none.
    [[nodiscard]] std::string field(const std::string& name) const;
};

struct CallerRequest {
    std::string method = "GET";
    // The path and query.
    std::string target = "/";
    std::vector<HeaderField> fields;
    std::string body;
};

// A blocking HTTP/1.1 client with one connection, for tests and load generators. It connects on first use,
// keeps the connection between requests, and connects again after the connection has failed or the server
// has closed it. Connecting and writing have no time limit. Bodies of responses are limited to 256 MB.
class HttpCaller {
public:
    // Waits up to `responseTimeout` for the head of a response, and as long again for its body.
    explicit HttpCaller(
        const Endpoint& server, std::chrono::milliseconds responseTimeout = std::chrono::seconds(60));
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    // Sends a request and reads its response. Returns nothing if the connection failed or timed out before
    // the head of the response was complete. The Host field is the server's address unless the request has
    // one.
    std::optional<CallerResponse> send(const CallerRequest& request);
    // Sends all requests at once and then reads their responses. Returns those that arrived, in the order of
    // their arrival: fewer than the requests if the connection failed, timed out or was closed.
    std::vector<CallerResponse> sendAhead(const std::vector<CallerRequest>& requests);
    // Sends bytes unchanged and returns everything received until the server closes the connection or sends
    // nothing for `readTimeoutMs`. Closes the connection; returns an empty string if connecting failed.
    std::string sendRaw(const std::string& bytes, int readTimeoutMs);
    void close();

private:
    class Rep;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
