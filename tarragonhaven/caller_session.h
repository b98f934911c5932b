#pragma once

#include "tarragonhaven/entry.h"
#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace tarragonhaven {

// Serves one caller's connection over HTTP/1.1. Handles one request after another, each with its own
// EntryExchange, and streams bodies in both directions. A malformed request gets an error response, after
// which the connection is closed. If a response cannot be completed, the connection is closed before the
// announced end of the response. The declared CallerLimits bound the size of heads and bodies and the times
// that a caller may take.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    using EndHandler = std::function<void(const std::shared_ptr<CallerSession>&)>;

    CallerSession(Entry& entry, boost::asio::ip::tcp::socket socket, EndHandler onEnd);
    ~CallerSession();
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    void start();
    // Closes the connection after the next response, which announces this. Closes the connection at once if
    // `closeIfIdle` is set and no request is in progress.
    void stop(bool closeIfIdle);
    // Refuses the request in progress at once, unless its response has begun.
    void abandonRequest();
    void close();
    // Returns whether a request is being read or executed.
    [[nodiscard]] bool busy() const;

    // The Downstream interface, called by the relay.
    void readBody(std::function<void(bool, BodyChunk)> handler);
    void onOpened(std::function<void(bool)> handler);
    void writeHead(const ResponseHead& head, std::function<void(bool)> handler);
    void writeBody(BodyChunk chunk, std::function<void(bool)> handler);
    void refuse(const Refusal& refusal);
    void abort(const Refusal& refusal);
    void finish();

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
