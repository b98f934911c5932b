// The session is the asking side of a relay. It reads a head with limits on size and time, hands it to the
// entry and lets the relay pull the body and push the answer. Between requests it waits in idle; pipelined
// requests wait in the buffer and are answered in order.

#include "tarragonhaven/caller_session.h"

#include "tarragonhaven/close_watch.h"
#include "tarragonhaven/entry_exchange.h"
#include "tarragonhaven/http_fields.h"
#include "tarragonhaven/relay.h"

#include <absl/strings/str_format.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr util::Duration bodyIdleTimeout = std::chrono::seconds(30);
    constexpr util::Duration writeTimeout = std::chrono::seconds(60);
    // Beyond the idle time that is declared, so that a request sent just inside it is not cut.
    constexpr util::Duration idleGrace = std::chrono::milliseconds(500);
    constexpr std::size_t readAheadBytes = 4096;
    constexpr std::size_t longestTargetBytes = 8 * 1024;
    // The part of a body that is read before a target is chosen.
    constexpr std::size_t prefetchBytes = 64 * 1024;
    // How much of a refused request's body is read and dropped to keep the connection.
    constexpr std::size_t drainLimitBytes = 256 * 1024;
    constexpr unsigned httpVersion11 = 11;
    constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

    std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    std::int64_t retryAfterSeconds(util::Duration retryAfter)
    {
        return static_cast<std::int64_t>(std::ceil(util::toSeconds(retryAfter)));
    }

    // In seconds, with a fraction where the caller understands it.
    std::string retryAfterText(util::Duration retryAfter, bool fraction)
    {
        if (!fraction)
            return std::to_string(retryAfterSeconds(retryAfter));
        return absl::StrFormat("%.2f", util::toSeconds(retryAfter));
    }

    std::string refusalBody(const Refusal& refusal, const std::string& requestId)
    {
        nlohmann::ordered_json body;
        body["refusal"] = { { "reason", name(refusal.reason) }, { "run", name(refusal.run) },
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
        , onEnd(std::move(handler))
    {
    }

    using Parser = http::request_parser<http::buffer_body>;
    using Self = std::shared_ptr<CallerSession>;

    void next(const Self& self)
    {
        relaying = false;
        pending.reset();
        prefetched.clear();
        refusalPending = false;
        closeWatch.stop();
        exchange.reset();
        serializer.reset();
        response.reset();
        storage = {};
        if (toldClose)
            return end(self);
        parser.emplace();
        parser->header_limit(entry.callerLimits().headBytes);
        parser->body_limit(entry.callerLimits().bodyBytes);
        if (buffer.size() > 0)
            return readHead(self);
        stream.expires_after(entry.callerLimits().idleTime + idleGrace);
        stream.async_read_some(
            buffer.prepare(readAheadBytes), [this, self](error_code error, std::size_t count) {
                if (error || closed)
                    return end(self);
                buffer.commit(count);
                readHead(self);
            });
    }

    void readHead(const Self& self)
    {
        reading = true;
        stream.expires_after(entry.callerLimits().headTime + idleGrace);
        http::async_read_header(stream, buffer, *parser, [this, self](error_code error, std::size_t) {
            reading = false;
            if (closed)
                return end(self);
            if (error)
                return headFailed(self, error);
            handleHead(self);
        });
    }

    void headFailed(const Self& self, error_code error)
    {
        const bool gone = error == http::error::end_of_stream || error == beast::error::timeout
            || error == http::error::partial_message
            || error.category() == asio::error::get_system_category();
        if (gone)
            return end(self);
        requestId = entry.nextRequestId();
        organisation = {};
        closing = true;
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
        closing = closing || !message.keep_alive();
        expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
        bodyDue = !parser->is_done();
        if (const auto fault = framingFault()) {
            closing = true;
            return self->refuse(*fault);
        }
        auto head = toHead();
        requestId = entry.requestIdOf(head);
        auto accepted = entry.accept(std::move(head));
        if (!accepted)
            return self->refuse(accepted.error());
        organisation = accepted->context.organisation;
        keyDigest = accepted->keyDigest;
        accepted->context.requestId = requestId;
        identityRequired = accepted->route.identity == IdentityRule::Required;
        pending = std::move(*accepted);
        if (bodyDue && !expectsContinue)
            return prefetch(self, 0);
        beginExchange(self);
    }

    // Reads a small body before the request waits anywhere: a caller that leaves meanwhile can be noticed
    // only when nothing of its request is left to read.
    void prefetch(const Self& self, std::size_t bytes)
    {
        readChunk(self, [this, self, bytes](bool alive, BodyChunk chunk) {
            if (!alive)
                return;
            const auto total = bytes + chunk.data.size();
            const bool last = chunk.last;
            prefetched.push_back(std::move(chunk));
            if (last || total > prefetchBytes)
                return beginExchange(self);
            prefetch(self, total);
        });
    }

    void beginExchange(const Self& self)
    {
        const bool hasBody = pending->head.hasBody;
        exchange = std::make_shared<EntryExchange>(entry, std::move(*pending));
        pending.reset();
        if (!bodyDue)
            watchCaller(self);
        std::make_shared<Relay<CallerSession, EntryExchange>>(self, exchange, hasBody)->start();
    }

    void takeBody(const Self& self, std::function<void(bool, BodyChunk)> handler)
    {
        if (prefetched.empty())
            return readChunk(self, std::move(handler));
        auto chunk = std::move(prefetched.front());
        prefetched.pop_front();
        asio::post(stream.get_executor(), [handler = std::move(handler), chunk = std::move(chunk)]() mutable {
            handler(true, std::move(chunk));
        });
    }

    // A caller that closes its connection waits for its answer no longer.
    void watchCaller(const Self& self)
    {
        closeWatch.start(stream.socket(), [this, weak = std::weak_ptr<CallerSession>(self)] {
            const auto kept = weak.lock();
            if (!kept || !relaying)
                return;
            entry.logCallerGone(requestId);
            end(kept);
        });
    }

    // What the parser lets through and a target might read in another way.
    std::optional<Refusal> framingFault()
    {
        const auto& message = parser->get();
        const auto fault = [](RefusalReason reason, const char* detail) {
            return Refusal { reason, RunState::NotRun, util::Duration {}, detail };
        };
        if (message.version() != httpVersion11)
            return fault(RefusalReason::VersionUnsupported, "HTTP/1.1 is spoken here");
        if (message.count(http::field::host) != 1)
            return fault(RefusalReason::MalformedRequest, "there is not exactly one Host field");
        if (message.count(http::field::transfer_encoding) > 1)
            return fault(RefusalReason::MalformedRequest, "Transfer-Encoding stands twice");
        const auto coding = message[http::field::transfer_encoding];
        if (!coding.empty() && !beast::iequals(coding, "chunked"))
            return fault(RefusalReason::MalformedRequest, "a transfer coding other than chunked");
        if (message.count(http::field::content_length) + message.count(http::field::transfer_encoding) > 1)
            return fault(RefusalReason::MalformedRequest, "two lengths for one body");
        if (message.target().empty() || message.target().front() != '/')
            return fault(RefusalReason::MalformedRequest, "the target is not a path");
        if (message.target().size() > longestTargetBytes)
            return fault(RefusalReason::HeaderTooLarge, "the path is too long");
        return std::nullopt;
    }

    RequestHead toHead()
    {
        const auto& message = parser->get();
        RequestHead head;
        head.method = std::string(toView(message.method_string()));
        head.target = std::string(toView(message.target()));
        head.hasBody = bodyDue;
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
        storage.resize(bodyChunkBytes);
        auto& body = parser->get().body();
        body.data = storage.data();
        body.size = storage.size();
        http::async_read_some(stream, buffer, *parser,
            [this, self, handler = std::move(handler)](error_code error, std::size_t) {
                if (error == http::error::need_buffer)
                    error = {};
                if (error || closed) {
                    handler(false, {});
                    return end(self);
                }
                BodyChunk chunk;
                chunk.data.assign(storage.data(), storage.size() - parser->get().body().size);
                chunk.last = parser->is_done();
                bodyDue = !chunk.last;
                if (!bodyDue && exchange)
                    watchCaller(self);
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
        if (identityRequired && !organisation.text.empty())
            response->set(
                "Tarragonhaven-Next-Idempotency-Key", entry.parts().admission.issueIdentity(organisation));
        if (head.contentLength >= 0)
            response->content_length(static_cast<std::uint64_t>(head.contentLength));
        else if (head.hasBody)
            response->chunked(true);
        closing = closing || bodyDue || entry.stopping();
        response->keep_alive(!closing);
        toldClose = closing;
        response->body().data = nullptr;
        response->body().more = head.hasBody;
        serializer.emplace(*response);
        stream.expires_after(writeTimeout);
        http::async_write_header(
            stream, *serializer, [this, self, handler = std::move(handler)](error_code error, std::size_t) {
                handler(!error && !closed);
                if (error || closed)
                    end(self);
            });
    }

    void sendChunk(const Self& self, BodyChunk chunk, std::function<void(bool)> handler)
    {
        if (!entry.stillAccepted(keyDigest)) {
            handler(false);
            return self->cut(
                { RefusalReason::KeyNotAccepted, RunState::Ran, util::Duration {}, "key withdrawn" });
        }
        out = std::move(chunk);
        auto& body = response->body();
        body.data = out.data.empty() ? nullptr : out.data.data();
        body.size = out.data.size();
        body.more = !out.last;
        stream.expires_after(writeTimeout);
        http::async_write(
            stream, *serializer, [this, self, handler = std::move(handler)](error_code error, std::size_t) {
                if (error == http::error::need_buffer)
                    error = {};
                handler(!error && !closed);
                if (error || closed)
                    end(self);
            });
    }

    void sendRefusal(const Self& self, const Refusal& refusal)
    {
        refusalPending = true;
        refusalResponse.emplace();
        refusalResponse->version(httpVersion11);
        const bool strict = entry.parts().options.dialect.strictRefusals;
        refusalResponse->result(
            static_cast<unsigned>(strict ? strictHttpStatus(refusal) : httpStatus(refusal.reason)));
        const auto& idField = entry.parts().options.dialect.requestId;
        if (!idField.empty())
            refusalResponse->set(idField, requestId);
        refusalResponse->set(http::field::content_type, "application/json");
        refusalResponse->set("Tarragonhaven-Request", requestId);
        refusalResponse->set("Tarragonhaven-Refusal",
            beast::string_view(name(refusal.reason).data(), name(refusal.reason).size()));
        refusalResponse->set(
            "Tarragonhaven-Run", beast::string_view(name(refusal.run).data(), name(refusal.run).size()));
        if (refusal.retryAfter > util::Duration {})
            refusalResponse->set(http::field::retry_after, retryAfterText(refusal.retryAfter, strict));
        if (refusal.reason == RefusalReason::IdentityMissing)
            offerIdentity();
        closing = closing || (bodyDue && expectsContinue) || entry.stopping();
        refusalResponse->keep_alive(!closing);
        toldClose = closing;
        const bool isHead = parser && parser->get().method() == http::verb::head;
        if (!isHead)
            refusalResponse->body() = refusalBody(refusal, requestId);
        refusalResponse->prepare_payload();
        stream.expires_after(writeTimeout);
        http::async_write(stream, *refusalResponse, [this, self](error_code error, std::size_t) {
            if (error || closed)
                return end(self);
            drained = 0;
            drain(self);
        });
    }

    // A caller that lacks a key for its request is given one with the refusal.
    void offerIdentity()
    {
        const auto* known
            = entry.configuration()->organisationForKey(keyDigestOfRefused(), util::wallSeconds());
        if (known)
            refusalResponse->set(
                "Tarragonhaven-Next-Idempotency-Key", entry.parts().admission.issueIdentity(known->name));
    }

    std::string keyDigestOfRefused()
    {
        auto head = toHead();
        const auto key = extractKey(head, entry.parts().options.dialect.keyScheme);
        return key ? entry.digestOf(*key) : std::string();
    }

    // Reads and drops the rest of a refused request's body, so that the next request can be found after it.
    void drain(const Self& self)
    {
        if (!bodyDue || toldClose)
            return next(self);
        if (drained > drainLimitBytes)
            return end(self);
        readChunk(self, [this, self](bool alive, const BodyChunk& chunk) {
            if (!alive)
                return;
            drained += chunk.data.size();
            drain(self);
        });
    }

    void end(const Self& self)
    {
        if (std::exchange(ended, true))
            return;
        closed = true;
        closeWatch.stop();
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
    EndHandler onEnd;
    beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::optional<http::response<http::buffer_body>> response;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    std::optional<http::response<http::string_body>> refusalResponse;
    std::shared_ptr<EntryExchange> exchange;
    // Allocated while a body is read, so that an idle connection stays small.
    std::vector<char> storage;
    BodyChunk out;
    // A request that was accepted, until its exchange begins; and what of its body was read before that.
    std::optional<AcceptedRequest> pending;
    std::deque<BodyChunk> prefetched;
    std::string requestId;
    std::string keyDigest;
    OrganisationName organisation;
    std::size_t drained = 0;
    bool relaying = false;
    bool refusalPending = false;
    bool reading = false;
    bool bodyDue = false;
    bool expectsContinue = false;
    bool identityRequired = false;
    // The connection is to end after the next answer, and that answer has said so.
    bool closing = false;
    bool toldClose = false;
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
    m_rep->next(shared_from_this());
}

void CallerSession::stop(bool evenIdle)
{
    m_rep->closing = true;
    if (evenIdle && !busy())
        m_rep->end(shared_from_this());
}

void CallerSession::giveUp()
{
    if (!m_rep->relaying || !m_rep->exchange || m_rep->response || m_rep->refusalPending)
        return;
    const auto run = m_rep->exchange->mayHaveRun() ? RunState::Unknown : RunState::NotRun;
    m_rep->exchange->cancel();
    refuse({ run == RunState::NotRun ? RefusalReason::Stopping : RefusalReason::TargetTimeout, run,
        util::Duration {}, "the node stops" });
}

void CallerSession::close() { m_rep->end(shared_from_this()); }

bool CallerSession::busy() const { return m_rep->relaying || m_rep->reading; }

void CallerSession::readBody(std::function<void(bool, BodyChunk)> handler)
{
    m_rep->takeBody(shared_from_this(), std::move(handler));
}

void CallerSession::opened(std::function<void(bool)> handler)
{
    if (!m_rep->expectsContinue || !m_rep->bodyDue)
        return handler(true);
    asio::async_write(m_rep->stream, asio::buffer(continueAnswer),
        [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
            handler(!error);
            if (error)
                self->m_rep->end(self);
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

void CallerSession::cut(const Refusal& refusal)
{
    m_rep->entry.parts().metrics.noteCut();
    m_rep->entry.logRefusal(m_rep->requestId, m_rep->organisation, refusal);
    m_rep->end(shared_from_this());
}

void CallerSession::finished() { m_rep->next(shared_from_this()); }

} // namespace tarragonhaven
