#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/exchange.h"
#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace tarragonhaven {

// Settings of a connection to a target.
struct TargetConnectionOptions {
    // Whether a response with neither Content-Length nor chunked encoding is accepted; it ends with its
    // connection. A connection reset still counts as a cut response, and so does each such response to a
    // request that could not be sent completely.
    bool allowUnframedResponses = false;
    // The header field in which a response repeats the id of its request. If set, responses to other requests
    // that arrive first are skipped. Empty for none.
    std::string requestIdField;
    // Closes the connection when the target has acknowledged nothing, neither data nor keep-alive probes, for
    // this long; zero leaves the limit to the operating system.
    util::Duration unresponsiveTimeout {};
};

// A persistent HTTP/1.1 connection from a guard to its target, which carries one request at a time. Bodies
// are streamed in chunks. A response that does not state its length (neither Content-Length nor chunked
// encoding) is refused, since its end could not be distinguished from a cut connection, unless the options
// let the end of the connection end it. Errors are reported to the handlers as refusals, with whether the
// request may have run.
class TargetConnection {
public:
    explicit TargetConnection(boost::asio::io_context& io, TargetConnectionOptions options = {});
    ~TargetConnection();
    TargetConnection(const TargetConnection&) = delete;
    TargetConnection& operator=(const TargetConnection&) = delete;

    // Connects within `timeout`. A failure means that the request did not run.
    void connect(const Endpoint& endpoint, util::Duration timeout, OutcomeHandler<void> handler);
    // Starts a request: the next writeBody() sends its head first. The deadline bounds the wait for the head
    // of the response and, with `deadlineCoversBody`, the whole response.
    void beginRequest(
        const RequestHead& head, const std::string& requestId, util::Time deadline, bool deadlineCoversBody);
    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler);
    void readHead(OutcomeHandler<ResponseHead> handler);
    void readBody(OutcomeHandler<BodyChunk> handler);
    // Closes the connection. Pending handlers are not called.
    void close();

    // Returns whether the target has written a response on this connection before the current one.
    [[nodiscard]] bool hasEarlierResponses() const;
    // Returns whether the last response was read completely and the target keeps the connection open.
    [[nodiscard]] bool reusable() const;
    // Returns whether an idle connection is still open and has received nothing.
    [[nodiscard]] bool stillOpen();
    // Returns the time at which the last response ended.
    [[nodiscard]] util::Time idleSince() const;
    // Returns how long the target keeps an idle connection, as it stated, less a margin.
    [[nodiscard]] util::Duration maximumIdleTime() const;

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
