#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/exchange.h"
#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace tarragonhaven {

// A kept connection from a guard to its target, which carries one request at a time over HTTP/1.1. Bodies go
// through in chunks. An answer that does not say its own length (neither Content-Length nor chunks) is
// refused, since its end could not be told from a cut, unless the options let the end of the connection end
// it.
struct TargetConnectionOptions {
    // Whether an answer without a length of its own ends with its connection; a reset cuts it all the same.
    bool allowUnframedResponses = false;
    // The field that repeats the request's id in an answer; with it, answers to other requests that arrive
    // first are passed over. Empty for none.
    std::string requestIdField;
    // A target that is silent for this long, without an acknowledgement, is taken for gone; zero for the
    // system's own limit.
    util::Duration unresponsiveTimeout {};
};

class TargetConnection {
public:
    explicit TargetConnection(boost::asio::io_context& io, TargetConnectionOptions options = {});
    ~TargetConnection();
    TargetConnection(const TargetConnection&) = delete;
    TargetConnection& operator=(const TargetConnection&) = delete;

    // Connects within `timeout`. A failure says that the request did not run.
    void connect(const Endpoint& endpoint, util::Duration timeout, OutcomeHandler<void> handler);
    // Starts a request: the next writeBody() sends its head first.
    // The deadline bounds the wait for the head of the answer, and with `deadlineCoversBody` all of it.
    void beginRequest(
        const RequestHead& head, const std::string& requestId, util::Time deadline, bool deadlineCoversBody);
    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler);
    void readHead(OutcomeHandler<ResponseHead> handler);
    void readBody(OutcomeHandler<BodyChunk> handler);
    // Closes the connection. Handlers that wait are dropped.
    void close();

    // Whether the last answer was read to its end and the target keeps the connection.
    [[nodiscard]] bool reusable() const;
    // Whether an idle connection is still open and silent.
    [[nodiscard]] bool stillOpen();
    // When the last answer ended.
    [[nodiscard]] util::Time idleSince() const;
    // How long the target keeps the connection when it is idle, as it said; less a margin.
    [[nodiscard]] util::Duration maximumIdleTime() const;

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
