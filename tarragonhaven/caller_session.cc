// The session is the requester of a relay. It reads a request head with limits on size and time and passes it
// to the entry. The relay then reads the body from the session and writes the response to it. Between
// requests the connection is idle. Pipelined requests stay in the buffer and get their responses in order.

#include "tarragonhaven/caller_session.h"

#include "tarragonhaven/body_buffer.h"
#include "tarragonhaven/body_reader.h"
#include "tarragonhaven/close_watch.h"
#include "tarragonhaven/entry_exchange.h"
#include "tarragonhaven/http_fields.h"
#include "tarragonhaven/message_parser.h"
#include "tarragonhaven/relay.h"

#include <absl/strings/str_format.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr util::Duration bodyIdleTimeout = std::chrono::seconds(30);
    constexpr util::Duration writeTimeout = std::chrono::seconds(60);
    // Added to the declared idle and head timeouts, so that a request that is sent just before the timeout is
    // still accepted.
    constexpr util::Duration timeoutMargin = std::chrono::milliseconds(500);
    // Longer than the grace of frames between nodes, so that what other nodes say of a request goes first.
    constexpr util::Duration deadlineGrace = std::chrono::milliseconds(250);
    constexpr std::size_t readAheadBytes = 4096;
    constexpr std::size_t maximumTargetBytes = 8 * 1024;
    // What the buffer may hold beyond a request head of the maximum size: pipelined requests, and chunk
    // extensions and trailer fields, for which the parser has no limit of its own.
    constexpr std::size_t bufferReserveBytes = 64 * 1024;
    // A body is read up to this size before a target is chosen.
    constexpr std::size_t prefetchLimitBytes = 64 * 1024;
    // The limit of bytes of a refused request's body that are read and discarded to keep the connection open.
    constexpr std::size_t discardLimitBytes = 256 * 1024;
    constexpr unsigned httpVersion11 = 11;
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

    std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    std::int64_t retryAfterSeconds(util::Duration retryAfter)
    {
        return static_cast<std::int64_t>(std::ceil(util::toSeconds(retryAfter)));
    }

    // Returns the value of a Retry-After field in seconds, with a fraction if the caller supports one.
    std::string retryAfterText(util::Duration retryAfter, bool allowFraction)
    {
        if (!allowFraction)
            return std::to_string(retryAfterSeconds(retryAfter));
        return absl::StrFormat("%.2f", util::toSeconds(retryAfter));
    }

    std::string refusalBody(const Refusal& refusal, const std::string& requestId)
    {
        nlohmann::ordered_json body;
        body["refusal"] = { { "reason", toString(refusal.reason) }, { "run", toString(refusal.run) },
            { "detail", refusal.detail }, { "request", requestId },
            { "retryAfterSeconds", retryAfterSeconds(refusal.retryAfter) } };
        return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }

} // namespace

class CallerSession::Rep {
public:
    Rep(Entry& sharedEntry, tcp::socket socket, EndHandler handler)
        : entry(sharedEntry)
        , stream(std::move(socket))
        , deadlineTimer(stream.get_executor())
        , onEnd(std::move(handler))
    {
    }

    using Parser = MessageParser<true, http::buffer_body>;
    using Self = std::shared_ptr<CallerSession>;

    void readNextRequest(const Self& self)
    {
        relaying = false;
        ++requestNumber;
        deadlineTimer.cancel();
        acceptedRequest.reset();
        prefetchedBody.clear();
        refusalStarted = false;
        closeWatch.stop();
        exchange.reset();
        serializer.reset();
        response.reset();
        bodyReader.release();
        if (closeAnnounced)
            return endSession(self);
        parser.emplace();
        parser->header_limit(entry.callerLimits().headBytes);
        buffer.max_size(entry.callerLimits().headBytes + bufferReserveBytes);
        parser->body_limit(entry.callerLimits().bodyBytes);
        if (buffer.size() > 0)
            return readHead(self);
        stream.expires_after(entry.callerLimits().idleTimeout + timeoutMargin);
        stream.async_read_some(
            buffer.prepare(readAheadBytes), [this, self](error_code error, std::size_t count) {
                if (error || closed)
                    return endSession(self);
                buffer.commit(count);
                readHead(self);
            });
    }

    void readHead(const Self& self)
    {
        readingHead = true;
        stream.expires_after(entry.callerLimits().headTimeout + timeoutMargin);
        http::async_read_header(stream, buffer, *parser, [this, self](error_code error, std::size_t) {
            readingHead = false;
            if (closed)
                return endSession(self);
            if (error)
                return onHeadFailed(self, error);
            handleHead(self);
        });
    }

    void onHeadFailed(const Self& self, error_code error)
    {
        const bool connectionLost = error == http::error::end_of_stream || error == beast::error::timeout
            || error == http::error::partial_message
            || error.category() == asio::error::get_system_category();
        if (connectionLost)
            return endSession(self);
        requestId = entry.nextRequestId();
        organisation = {};
        closeAfterResponse = true;
        const auto reason = error == http::error::header_limit ? RefusalReason::HeaderTooLarge
            : error == http::error::body_limit                 ? RefusalReason::BodyTooLarge
                                                               : RefusalReason::MalformedRequest;
        self->refuse({ reason, RunState::NotRun, util::Duration {}, error.message() });
    }

    void handleHead(const Self& self)
    {
        relaying = true;
        requestId = entry.nextRequestId();
        organisation = {};
        const auto& message = parser->get();
        closeAfterResponse = closeAfterResponse || !message.keep_alive();
        expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
        bodyRemaining = !parser->is_done();
        if (const auto framingError = findFramingError()) {
            closeAfterResponse = true;
            return self->refuse(*framingError);
        }
        auto head = toHead();
        requestId = entry.requestIdOf(head);
        auto accepted = entry.accept(std::move(head));
        if (!accepted)
            return self->refuse(accepted.error());
        organisation = accepted->context.organisation;
        keyDigest = accepted->keyDigest;
        accepted->context.requestId = requestId;
        idempotencyKeyRequired = accepted->route.idempotencyKeyRule == IdempotencyKeyRule::Required;
        acceptedRequest = std::move(*accepted);
        if (bodyRemaining && !expectsContinue)
            return prefetch(self);
        beginExchange(self);
    }

    // Reads a small body completely before the request queues anywhere, since the session can only detect
    // that the caller disconnects when the whole request has been read.
    void prefetch(const Self& self)
    {
        readChunk(self, [this, self](bool connected, BodyChunk chunk) {
            if (!connected)
                return;
            prefetchedBody.append(std::move(chunk));
            const bool mayReadMore = prefetchedBody.bodyBytes() <= prefetchLimitBytes
                && entry.bodyBudget().allows(bodyChunkBytes);
            if (prefetchedBody.hasEnd() || !mayReadMore)
                return beginExchange(self);
            prefetch(self);
        });
    }

    void beginExchange(const Self& self)
    {
        const bool hasBody = acceptedRequest->head.hasBody;
        auto& context = acceptedRequest->context;
        // The body of a request that waits for "100 Continue" is not known yet.
        if (!bodyRemaining || !expectsContinue)
            context.fingerprint = fingerprintOf(context.service, context.organisation, acceptedRequest->head,
                prefetchedBody.prefix(fingerprintBodyBytes + 1));
        if (context.deadlineCoversBody)
            startDeadlineTimer(self, context.deadline);
        exchange = std::make_shared<EntryExchange>(entry, std::move(*acceptedRequest));
        acceptedRequest.reset();
        if (!bodyRemaining)
            watchForDisconnect(self);
        std::make_shared<Relay<CallerSession, EntryExchange>>(self, exchange, hasBody)->start();
    }

    void startDeadlineTimer(const Self& self, util::Time deadline)
    {
        const auto remaining = std::max<util::Duration>(deadline - util::BootClock::now(), {});
        deadlineTimer.expires_after(remaining + deadlineGrace);
        // A timer that has expired cannot be cancelled any more, so its handler may run during the next
        // request.
        deadlineTimer.async_wait(
            [this, weak = std::weak_ptr<CallerSession>(self), number = requestNumber](error_code error) {
                const auto session = weak.lock();
                if (!error && session && relaying && number == requestNumber)
                    onDeadline(session);
            });
    }

    // Ends a request that waits for its caller to send or read a part of a body, since it holds a slot
    // meanwhile. A response that the exchange has received completely is still delivered.
    void onDeadline(const Self& self)
    {
        if (!response)
            return abandonRequest(self, RefusalReason::QueueTimeout, "not complete at its deadline");
        if (!exchange->responseReceived())
            self->abort({ RefusalReason::TargetTimeout, RunState::Unknown, util::Duration {},
                "the response was not complete at the deadline" });
    }

    // Refuses the request in progress, unless its response has begun. `reasonIfNotRun` is the reason if no
    // target can have run it.
    void abandonRequest(const Self& self, RefusalReason reasonIfNotRun, const char* detail)
    {
        if (!relaying || !exchange || response || refusalStarted)
            return;
        const auto run = exchange->mayHaveRun() ? RunState::Unknown : RunState::NotRun;
        exchange->cancel();
        // The rest of the body cannot be discarded while a part of it is being read.
        closeAfterResponse = closeAfterResponse || bodyRemaining;
        self->refuse({ run == RunState::NotRun ? reasonIfNotRun : RefusalReason::TargetTimeout, run,
            util::Duration {}, detail });
    }

    void nextBodyChunk(const Self& self, std::function<void(bool, BodyChunk)> handler)
    {
        if (prefetchedBody.empty())
            return readChunk(self, std::move(handler));
        auto chunk = prefetchedBody.takeFront();
        asio::post(stream.get_executor(), [handler = std::move(handler), chunk = std::move(chunk)]() mutable {
            handler(true, std::move(chunk));
        });
    }

    // Ends the session if the caller closes the connection, since the caller then no longer waits for its
    // response.
    void watchForDisconnect(const Self& self)
    {
        closeWatch.start(stream.socket(), [this, weak = std::weak_ptr<CallerSession>(self)] {
            const auto session = weak.lock();
            if (!session || !relaying)
                return;
            entry.logCallerDisconnected(requestId);
            endSession(session);
        });
    }

    // Returns a refusal if the parser accepted the framing of the message but a target might interpret it
    // differently.
    std::optional<Refusal> findFramingError()
    {
        const auto& message = parser->get();
        const auto makeRefusal = [](RefusalReason reason, const char* detail) {
            return Refusal { reason, RunState::NotRun, util::Duration {}, detail };
        };
        if (message.version() != httpVersion11)
            return makeRefusal(RefusalReason::VersionUnsupported, "only HTTP/1.1 is supported");
        if (message.count(http::field::host) != 1)
            return makeRefusal(RefusalReason::MalformedRequest, "a request must have exactly one Host field");
        if (message.count(http::field::transfer_encoding) > 1)
            return makeRefusal(RefusalReason::MalformedRequest, "more than one Transfer-Encoding field");
        const auto coding = message[http::field::transfer_encoding];
        if (!coding.empty() && !beast::iequals(coding, "chunked"))
            return makeRefusal(
                RefusalReason::MalformedRequest, "only the chunked transfer coding is supported");
        if (message.count(http::field::content_length) + message.count(http::field::transfer_encoding) > 1)
            return makeRefusal(
                RefusalReason::MalformedRequest, "more than one Content-Length or Transfer-Encoding field");
        if (message.target().empty() || message.target().front() != '/')
            return makeRefusal(RefusalReason::MalformedRequest, "the request target is not a path");
        if (message.target().size() > maximumTargetBytes)
            return makeRefusal(RefusalReason::HeaderTooLarge, "the request target exceeds 8192 bytes");
        return std::nullopt;
    }

    RequestHead toHead()
    {
        const auto& message = parser->get();
        RequestHead head;
        head.method = std::string(toView(message.method_string()));
        head.target = std::string(toView(message.target()));
        head.hasBody = bodyRemaining;
        const auto length = parser->content_length();
        head.contentLength = length ? static_cast<std::int64_t>(*length) : -1;
        head.host = std::string(toView(message[http::field::host]));
        const auto connection = toView(message[http::field::connection]);
        for (const auto& field : message) {
            const auto name = toView(field.name_string());
            if (!isHopByHop(name, connection))
                head.fields.push_back({ std::string(name), std::string(toView(field.value())) });
        }
        return head;
    }

    void readChunk(const Self& self, std::function<void(bool, BodyChunk)> handler)
    {
        stream.expires_after(bodyIdleTimeout);
        bodyReader.read(
            *parser, [this, self, handler = std::move(handler)](error_code error, BodyChunk chunk) {
                if (error || closed) {
                    handler(false, {});
                    return endSession(self);
                }
                bodyRemaining = !chunk.last;
                if (!bodyRemaining)
                    bodyReader.release();
                if (!bodyRemaining && exchange)
                    watchForDisconnect(self);
                handler(true, std::move(chunk));
            });
    }

    void sendHead(const Self& self, const ResponseHead& head, std::function<void(bool)> handler)
    {
        response.emplace();
        response->version(httpVersion11);
        response->result(static_cast<unsigned>(head.status));
        for (const auto& field : head.fields)
            response->insert(field.name, field.value);
        response->set("Tarragonhaven-Request", requestId);
        if (idempotencyKeyRequired && !organisation.text.empty())
            response->set("Tarragonhaven-Next-Idempotency-Key",
                entry.dependencies().admission.issueIdempotencyKey(organisation));
        if (head.contentLength >= 0)
            response->content_length(static_cast<std::uint64_t>(head.contentLength));
        else if (head.hasBody)
            response->chunked(true);
        closeAfterResponse = closeAfterResponse || bodyRemaining || entry.stopping();
        response->keep_alive(!closeAfterResponse);
        closeAnnounced = closeAfterResponse;
        response->body().data = nullptr;
        response->body().more = head.hasBody;
        serializer.emplace(*response);
        stream.expires_after(writeTimeout);
        http::async_write_header(
            stream, *serializer, [this, self, handler = std::move(handler)](error_code error, std::size_t) {
                handler(!error && !closed);
                if (error || closed)
                    endSession(self);
            });
    }

    void sendChunk(const Self& self, BodyChunk chunk, std::function<void(bool)> handler)
    {
        if (!entry.isStillAccepted(keyDigest)) {
            handler(false);
            return self->abort({ RefusalReason::KeyNotAccepted, RunState::Ran, util::Duration {},
                "the key was revoked while the response was being sent" });
        }
        outgoingChunk = std::move(chunk);
        auto& body = response->body();
        body.data = outgoingChunk.data.empty() ? nullptr : outgoingChunk.data.data();
        body.size = outgoingChunk.data.size();
        body.more = !outgoingChunk.last;
        stream.expires_after(writeTimeout);
        http::async_write(
            stream, *serializer, [this, self, handler = std::move(handler)](error_code error, std::size_t) {
                if (error == http::error::need_buffer)
                    error = {};
                handler(!error && !closed);
                if (error || closed)
                    endSession(self);
            });
    }

    void sendRefusal(const Self& self, const Refusal& refusal)
    {
        refusalStarted = true;
        refusalResponse.emplace();
        refusalResponse->version(httpVersion11);
        const bool strict = entry.dependencies().options.headerNames.strictRefusals;
        refusalResponse->result(
            static_cast<unsigned>(strict ? strictHttpStatus(refusal) : httpStatus(refusal.reason)));
        const auto& idField = entry.dependencies().options.headerNames.requestId;
        if (!idField.empty())
            refusalResponse->set(idField, requestId);
        refusalResponse->set(http::field::content_type, "application/json");
        refusalResponse->set("Tarragonhaven-Request", requestId);
        refusalResponse->set("Tarragonhaven-Refusal",
            beast::string_view(toString(refusal.reason).data(), toString(refusal.reason).size()));
        refusalResponse->set("Tarragonhaven-Run",
            beast::string_view(toString(refusal.run).data(), toString(refusal.run).size()));
        if (refusal.retryAfter > util::Duration {})
            refusalResponse->set(http::field::retry_after, retryAfterText(refusal.retryAfter, strict));
        if (refusal.reason == RefusalReason::IdempotencyKeyMissing)
            offerIdempotencyKey();
        closeAfterResponse = closeAfterResponse || (bodyRemaining && expectsContinue) || entry.stopping();
        refusalResponse->keep_alive(!closeAfterResponse);
        closeAnnounced = closeAfterResponse;
        const bool isHeadRequest = parser && parser->get().method() == http::verb::head;
        if (!isHeadRequest)
            refusalResponse->body() = refusalBody(refusal, requestId);
        refusalResponse->prepare_payload();
        stream.expires_after(writeTimeout);
        http::async_write(stream, *refusalResponse, [this, self](error_code error, std::size_t) {
            if (error || closed)
                return endSession(self);
            discardedBytes = 0;
            discardBody(self);
        });
    }

    // Adds a new idempotency key to the refusal of a request that lacks one.
    void offerIdempotencyKey()
    {
        const auto* knownOrganisation
            = entry.configuration()->organisationForKey(presentedKeyDigest(), util::wallSeconds());
        if (knownOrganisation)
            refusalResponse->set("Tarragonhaven-Next-Idempotency-Key",
                entry.dependencies().admission.issueIdempotencyKey(knownOrganisation->name));
    }

    std::string presentedKeyDigest()
    {
        auto head = toHead();
        const auto key = extractKey(head, entry.dependencies().options.headerNames.keyScheme);
        return key ? entry.digestOf(*key) : std::string();
    }

    // Reads and discards the rest of a refused request's body, so that the next request can be read after it.
    void discardBody(const Self& self)
    {
        if (!bodyRemaining || closeAnnounced)
            return readNextRequest(self);
        if (discardedBytes > discardLimitBytes)
            return endSession(self);
        readChunk(self, [this, self](bool connected, const BodyChunk& chunk) {
            if (!connected)
                return;
            discardedBytes += chunk.data.size();
            discardBody(self);
        });
    }

    void endSession(const Self& self)
    {
        if (std::exchange(ended, true))
            return;
        closed = true;
        closeWatch.stop();
        deadlineTimer.cancel();
        error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        stream.close();
        if (exchange)
            exchange->cancel();
        exchange.reset();
        onEnd(self);
    }

    Entry& entry;
    beast::tcp_stream stream;
    asio::steady_timer deadlineTimer;
    EndHandler onEnd;
    beast::flat_buffer buffer;
    BodyReader bodyReader { stream, buffer };
    std::optional<Parser> parser;
    std::optional<http::response<http::buffer_body>> response;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    std::optional<http::response<http::string_body>> refusalResponse;
    std::shared_ptr<EntryExchange> exchange;
    BodyChunk outgoingChunk;
    // An accepted request until its exchange begins, and the part of its body that was read before then.
    std::optional<AcceptedRequest> acceptedRequest;
    BodyBuffer prefetchedBody { entry.bodyBudget() };
    std::string requestId;
    std::string keyDigest;
    OrganisationName organisation;
    std::size_t discardedBytes = 0;
    unsigned long requestNumber = 0;
    bool relaying = false;
    bool refusalStarted = false;
    bool readingHead = false;
    bool bodyRemaining = false;
    bool expectsContinue = false;
    bool idempotencyKeyRequired = false;
    // Whether the connection is to be closed after the next response, and whether that response has announced
    // it.
    bool closeAfterResponse = false;
    bool closeAnnounced = false;
    bool closed = false;
    bool ended = false;
    CloseWatch closeWatch;
};

CallerSession::CallerSession(Entry& entry, tcp::socket socket, EndHandler onEnd)
    : m_rep(std::make_shared<Rep>(entry, std::move(socket), std::move(onEnd)))
{
}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
    error_code ignored;
    m_rep->stream.socket().set_option(tcp::no_delay(true), ignored);
    m_rep->readNextRequest(shared_from_this());
}

void CallerSession::stop(bool closeIfIdle)
{
    m_rep->closeAfterResponse = true;
    if (closeIfIdle && !busy())
        m_rep->endSession(shared_from_this());
}

void CallerSession::abandonRequest()
{
    m_rep->abandonRequest(shared_from_this(), RefusalReason::Stopping, "the node is stopping");
}

void CallerSession::close() { m_rep->endSession(shared_from_this()); }

bool CallerSession::busy() const { return m_rep->relaying || m_rep->readingHead; }

void CallerSession::readBody(std::function<void(bool, BodyChunk)> handler)
{
    m_rep->nextBodyChunk(shared_from_this(), std::move(handler));
}

void CallerSession::onOpened(std::function<void(bool)> handler)
{
    if (!m_rep->expectsContinue || !m_rep->bodyRemaining)
        return handler(true);
    asio::async_write(m_rep->stream, asio::buffer(continueResponse),
        [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
            handler(!error);
            if (error)
                self->m_rep->endSession(self);
        });
}

void CallerSession::writeHead(const ResponseHead& head, std::function<void(bool)> handler)
{
    m_rep->sendHead(shared_from_this(), head, std::move(handler));
}

void CallerSession::writeBody(BodyChunk chunk, std::function<void(bool)> handler)
{
    m_rep->sendChunk(shared_from_this(), std::move(chunk), std::move(handler));
}

void CallerSession::refuse(const Refusal& refusal)
{
    m_rep->entry.logRefusal(m_rep->requestId, m_rep->organisation, refusal);
    m_rep->sendRefusal(shared_from_this(), refusal);
}

void CallerSession::abort(const Refusal& refusal)
{
    m_rep->entry.dependencies().metrics.recordTruncatedResponse();
    m_rep->entry.logRefusal(m_rep->requestId, m_rep->organisation, refusal);
    m_rep->endSession(shared_from_this());
}

void CallerSession::finish() { m_rep->readNextRequest(shared_from_this()); }

} // namespace tarragonhaven
