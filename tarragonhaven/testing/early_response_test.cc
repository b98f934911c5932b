// Uploads whose target responds and resets its connection before it has read them, over sockets: at the node
// beside the target, and through a link from another node.

#include "tarragonhaven/peer_exchange.h"
#include "tarragonhaven/testing/early_target.h"
#include "tarragonhaven/testing/guard_node.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

namespace tarragonhaven::testing {

namespace {

    constexpr std::size_t uploadBytes = 400'000;
    constexpr std::size_t bytesBeforeResponse = 128'000;
    const std::string requestId = "r1";
    const HelloFrame hello { peerProtocolVersion, "fleet", "i1", 1 };

    HeaderNames headerNames()
    {
        HeaderNames names;
        names.requestId = "Request-Id";
        names.signature = "Signature";
        return names;
    }

    GuardOptions guardOptions()
    {
        GuardOptions options;
        options.headerNames = headerNames();
        options.allowUnframedResponses = true;
        return options;
    }

    RequestContext uploadContext()
    {
        RequestContext context;
        context.requestId = requestId;
        context.deadline = util::BootClock::now() + std::chrono::seconds(3);
        context.deadlineCoversBody = true;
        return context;
    }

    RequestHead uploadHead(bool chunked)
    {
        return { "POST", "/", { { headerNames().requestId, requestId } }, true,
            chunked ? -1 : static_cast<std::int64_t>(uploadBytes) };
    }

    // Returns the head of a response, whose framing is `fields`.
    std::string head(const std::string& statusLine, const std::string& fields)
    {
        return absl::StrCat(statusLine, "\r\n", headerNames().requestId, ": ", requestId,
            "\r\nSignature: s\r\n", fields, "\r\n");
    }

    struct Result {
        std::optional<Refusal> refusal;
        int status = 0;
        std::string body;
        std::size_t sentBytes = 0;
    };

    // How an upload goes on once the target has reset its connection: with a pause after each part, in which
    // what the peer has sent arrives, or as fast as the parts are taken.
    enum class Pace { Paused, Fast };

    // Uploads a body and reads the response, as a relay does. Sends what the target reads, waits until the
    // target has reset its connection, and sends the rest, so that a write meets the reset.
    template <Exchange RequestExchange> class Upload {
    public:
        Upload(boost::asio::io_context& io, const EarlyTarget& target,
            std::shared_ptr<RequestExchange> exchange, Pace pace = Pace::Paused)
            : m_io(io)
            , m_target(target)
            , m_exchange(std::move(exchange))
            , m_pace(pace)
            , m_timer(io)
        {
        }

        Result run()
        {
            m_exchange->open(
                [this](const Outcome<void>& opened) { opened ? write() : fail(opened.error()); });
            const auto end = util::BootClock::now() + std::chrono::seconds(6);
            while (!m_done && util::BootClock::now() < end)
                m_io.run_one_for(std::chrono::milliseconds(10));
            m_exchange->cancel();
            REQUIRE(m_done);
            return m_result;
        }

    private:
        void fail(const Refusal& refusal)
        {
            m_result.refusal = refusal;
            m_done = true;
        }

        void write()
        {
            if (m_result.sentBytes >= bytesBeforeResponse && m_target.resets() == 0)
                return writeLater();
            const auto length = std::min(uploadBytes - m_result.sentBytes, bodyChunkBytes);
            m_result.sentBytes += length;
            const bool last = m_result.sentBytes == uploadBytes;
            m_exchange->writeBody(
                { std::string(length, 'x'), last }, [this, last](const Outcome<void>& written) {
                    if (!written || last)
                        return readHead();
                    m_pace == Pace::Paused ? writeLater() : write();
                });
        }

        void writeLater()
        {
            m_timer.expires_after(std::chrono::milliseconds(2));
            m_timer.async_wait([this](boost::system::error_code) { write(); });
        }

        void readHead()
        {
            m_exchange->readHead([this](const Outcome<ResponseHead>& response) {
                if (!response)
                    return fail(response.error());
                m_result.status = response->status;
                response->hasBody ? readBody() : void(m_done = true);
            });
        }

        void readBody()
        {
            m_exchange->readBody([this](const Outcome<BodyChunk>& chunk) {
                if (!chunk)
                    return fail(chunk.error());
                m_result.body += chunk->data;
                chunk->last ? void(m_done = true) : readBody();
            });
        }

        boost::asio::io_context& m_io;
        const EarlyTarget& m_target;
        std::shared_ptr<RequestExchange> m_exchange;
        Pace m_pace;
        boost::asio::steady_timer m_timer;
        Result m_result;
        bool m_done = false;
    };

    Result uploadAtGuard(const std::string& response, bool chunked)
    {
        boost::asio::io_context io;
        EarlyTarget target(
            headerNames().requestId, bytesBeforeResponse, [&](const std::string&) { return response; });
        const auto guarded = std::make_shared<GuardedTarget>(
            io, Target { { "t1" }, { "i2" }, target.address(), 4 }, 1, guardOptions());
        const auto exchange = std::make_shared<GuardExchange>(guarded, uploadContext(), uploadHead(chunked));
        return Upload(io, target, exchange).run();
    }

    Result uploadThroughLink(const std::string& response, bool chunked, Pace pace = Pace::Paused)
    {
        boost::asio::io_context io;
        EarlyTarget target(
            headerNames().requestId, bytesBeforeResponse, [&](const std::string&) { return response; });
        GuardNode guard(io, hello, target.address(), guardOptions());
        PeerPool pool(io, hello);
        Instance peer;
        peer.name = { "i2" };
        peer.peerAddress = guard.address();
        const auto exchange = std::make_shared<PeerExchange>(pool, peer, TargetName { "t1" }, uploadContext(),
            uploadHead(chunked), [](const TargetReport&) {});
        return Upload(io, target, exchange, pace).run();
    }

    // Responses that end with their connection, of which the target sends a part.
    std::vector<std::string> partialResponses()
    {
        const std::string part(1000, 'p');
        return { head("HTTP/1.1 200 OK", "") + part, head("HTTP/1.1 200 OK", "Connection: close\r\n") + part,
            head("HTTP/1.0 200 OK", "") + part,
            head("HTTP/1.1 413 Too Large", "Connection: close\r\n") + part,
            head("HTTP/1.1 200 OK", "Content-Length: 2000\r\n") + part,
            head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n") + "3e8\r\n" + part + "\r\n" };
    }

    // Fits into the receive window of a new connection: what is not sent at the reset is lost.
    const std::string wholeBody(20'000, 'w');

    std::vector<std::string> wholeResponses()
    {
        return { head("HTTP/1.1 413 Too Large", absl::StrCat("Content-Length: ", wholeBody.size(), "\r\n"))
                + wholeBody,
            head("HTTP/1.1 413 Too Large", "Connection: close\r\nTransfer-Encoding: chunked\r\n")
                + absl::StrCat(absl::Hex(wholeBody.size()), "\r\n", wholeBody, "\r\n0\r\n\r\n") };
    }

} // namespace

// Guards against a part of a response that its caller gets as the whole: the write that meets the reset takes
// the error of the connection, and what is read afterwards ends as if the target had closed it.
TEST_CASE("a response without a length counts as cut if the target has not read the request", "[net]")
{
    for (const auto& response : partialResponses()) {
        for (const bool chunked : { false, true }) {
            INFO(response.substr(0, 120));
            CAPTURE(chunked);
            const auto result = uploadAtGuard(response, chunked);
            REQUIRE(result.refusal);
            CHECK(result.refusal->run == RunState::Unknown);
        }
    }
}

TEST_CASE("a whole response that its target sends before the end of an upload is delivered", "[net]")
{
    for (const auto& response : wholeResponses()) {
        for (const bool chunked : { false, true }) {
            INFO(response.substr(0, 120));
            CAPTURE(chunked);
            const auto result = uploadAtGuard(response, chunked);
            CHECK_FALSE(result.refusal);
            CHECK(result.status == 413);
            CHECK(result.body == wholeBody);
        }
    }
}

TEST_CASE("a part of a response to an upload through a link is not taken for the whole", "[net]")
{
    for (const auto& response : partialResponses()) {
        INFO(response.substr(0, 120));
        const auto result = uploadThroughLink(response, false);
        REQUIRE(result.refusal);
        CHECK(result.refusal->run == RunState::Unknown);
        CHECK(result.refusal->reason != RefusalReason::PeerLost);
    }
}

// Guards against responses that are lost because their guard resets the link on which the rest of the upload
// arrives, and against uploads that go on although the response is there.
TEST_CASE("a whole response to an upload through a link is delivered before the upload has ended", "[net]")
{
    for (const auto& response : wholeResponses()) {
        for (const bool chunked : { false, true }) {
            INFO(response.substr(0, 120));
            CAPTURE(chunked);
            const auto result = uploadThroughLink(response, chunked);
            CHECK_FALSE(result.refusal);
            CHECK(result.status == 413);
            CHECK(result.body == wholeBody);
            CHECK(result.sentBytes < uploadBytes);
            const auto fast = uploadThroughLink(response, chunked, Pace::Fast);
            CHECK_FALSE(fast.refusal);
            CHECK(fast.status == 413);
            CHECK(fast.body == wholeBody);
        }
    }
}

} // namespace tarragonhaven::testing
