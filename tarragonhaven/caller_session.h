#pragma once

#include "tarragonhaven/entry.h"
#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace tarragonhaven {

// Serves one caller's connection over HTTP/1.1: one request after another, each through an exchange of its
// own. Bodies stream in both directions. A request that is not well formed is answered once and the
// connection closed; an answer that cannot be finished ends with the connection closed before its announced
// end.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    using EndHandler = std::function<void(const std::shared_ptr<CallerSession>&)>;

    CallerSession(Entry& entry, boost::asio::ip::tcp::socket socket, EndHandler onEnd);
    ~CallerSession();
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    void start();
    // Ends the connection after the next answer, which says so; or at once when `evenIdle` and no request is
    // under way.
    void stop(bool closeIfIdle);
    // Answers the request under way at once with a refusal, if its answer has not begun.
    void abandonRequest();
    void close();
    [[nodiscard]] bool busy() const;

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
