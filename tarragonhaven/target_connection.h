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
// refused, since its end could not be told from a cut.
class TargetConnection {
public:
    explicit TargetConnection(boost::asio::io_context& io);
    ~TargetConnection();
    TargetConnection(const TargetConnection&) = delete;
    TargetConnection& operator=(const TargetConnection&) = delete;

    // Connects within `timeout`. A failure says that the request did not run.
    void connect(const Endpoint& endpoint, util::Duration timeout, OutcomeHandler<void> handler);
    // Starts a request: the next writeBody() sends its head first.
    void begin(const RequestHead& head, util::Time deadline);
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

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
