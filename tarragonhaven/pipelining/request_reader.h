#pragma once

#include "tarragonhaven/body_reader.h"
#include "tarragonhaven/memory/body_progress.h"
#include "tarragonhaven/message_parser.h"
#include "tarragonhaven/pipelining/caller_connection.h"
#include "tarragonhaven/pipelining/close_reason.h"
#include "tarragonhaven/pipelining/received_head.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace tarragonhaven {

// Reads the requests of one caller's connection, one after another, within the declared limits on size and
// time. While no head may be read, it only detects that the caller closes the connection. Time limits apply
// only while nothing but the caller holds up the connection.
class RequestReader : public std::enable_shared_from_this<RequestReader> {
public:
    // The session, which must not be ended by a call of the reader other than these.
    class Listener {
    public:
        // Called with each head, or with the refusal of what is no request; after a refusal nothing more may
        // be read.
        virtual void onHead(ReceivedHead received) = 0;
        // The caller sends the body of the latest request more slowly than ProgressLimits require. Called
        // once for each body, which is still being read.
        virtual void onBodyTimeout() = 0;
        // The caller has closed the connection, or has not sent anything in time.
        virtual void onReadingEnded(CloseReason reason) = 0;

    protected:
        ~Listener() = default;
    };
    // Receives the error that ended the body, or its next part.
    using BodyHandler = std::function<void(boost::beast::error_code, BodyChunk)>;

    RequestReader(std::shared_ptr<CallerConnection> connection, std::weak_ptr<Listener> listener);
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    // Reads the next head if `mayReadHead` is set, otherwise waits for the caller to close the connection. To
    // be called whenever one of the arguments or bodyRemaining() has changed. `requestsBefore` states whether
    // requests whose bodies were read completely are in progress. Passes at most one head to the listener
    // during the call.
    void proceed(bool mayReadHead, bool requestsBefore);
    // Reads the next part of the body of the latest request.
    void readBody(BodyHandler handler);

    // Returns whether a part of the latest request's body has not been read.
    [[nodiscard]] bool bodyRemaining() const { return m_bodyRemaining; }
    // Returns whether the reader waits for a part of the latest request's body.
    [[nodiscard]] bool readingBody() const { return m_readingBody; }
    // Returns whether a part of a head has arrived.
    [[nodiscard]] bool headBegun() const { return !m_bodyRemaining && m_buffer.size() > 0; }
    // Returns whether the caller has sent more than was read as requests, or is known to have more to send.
    [[nodiscard]] bool mayReceiveMore() const;
    // Returns the latest head again, until the next one is read.
    [[nodiscard]] RequestHead latestHead() const;
    // Returns whether the error means that the connection was lost, not that the caller sent what is no HTTP.
    [[nodiscard]] static bool isConnectionLost(boost::beast::error_code error);

private:
    using Parser = MessageParser<true, boost::beast::http::buffer_body>;

    enum class TimerUse {
        None,
        Idle,
        Head,
        Body,
        // Detects a close behind bytes that are not read.
        CloseCheck,
    };

    void beginMessage();
    // Parses what has arrived of a head.
    void parseHead();
    void onHeadFailed(boost::beast::error_code error);
    void awaitBytes();
    void onBytes();
    void receive();
    // Counts the memory of the buffers.
    void updateMemory();
    void updateTimer();
    void setTimer(TimerUse use);
    void onTimer();
    void endReading(CloseReason reason);
    [[nodiscard]] std::int64_t contentLength() const;

    std::shared_ptr<CallerConnection> m_connection;
    std::weak_ptr<Listener> m_listener;
    boost::beast::flat_buffer m_buffer;
    BodyReader m_bodyReader;
    std::size_t m_countedBytes = 0;
    std::optional<Parser> m_parser;
    boost::asio::steady_timer m_timer;
    BodyProgress m_bodyProgress;
    util::Time m_bodyWaitSince {};
    TimerUse m_timerUse = TimerUse::None;
    // Tells a timer that expired before it was set again.
    unsigned long m_timerNumber = 0;
    bool m_mayReadHead = false;
    bool m_requestsBefore = false;
    bool m_bodyRemaining = false;
    bool m_readingBody = false;
    bool m_bodyTimedOut = false;
    // Whether a wait for bytes is pending, and whether the parser has seen all bytes of the buffer.
    bool m_awaitingBytes = false;
    bool m_needsBytes = true;
    // Whether bytes have arrived that are not read yet.
    bool m_bytesUnread = false;
    bool m_ended = false;
};

} // namespace tarragonhaven
