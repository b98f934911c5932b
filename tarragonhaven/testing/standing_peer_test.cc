// Requests between two nodes of which one stands still, as a process does that is suspended: its kernel keeps
// the connection open and acknowledges data. Over sockets.

#include "tarragonhaven/peer_exchange.h"
#include "tarragonhaven/testing/guard_node.h"
#include "tarragonhaven/testing/scripted_target.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>

namespace tarragonhaven::testing {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr util::Duration requestTime = std::chrono::milliseconds(500);
    // When a request must have ended that waits for a node which stands still.
    constexpr util::Duration endOfWait = requestTime + std::chrono::milliseconds(500);
    // More than the buffers of a connection hold.
    constexpr std::size_t longBodyBytes = 32'000'000;
    constexpr util::Duration helloTimeout = std::chrono::seconds(1);
    const HelloFrame hello { peerProtocolVersion, "fleet", "i1", 1 };
    const std::string requestId = "r1";

    tcp::acceptor listen(boost::asio::io_context& io)
    {
        return { io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    }

    Endpoint addressOf(const tcp::acceptor& acceptor)
    {
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    void runUntil(boost::asio::io_context& io, util::Time end, const bool& done)
    {
        while (!done && util::BootClock::now() < end)
            io.run_one_for(std::chrono::milliseconds(10));
    }

    // A guard node that reads the frame that opens a request, writes the given frames, one in each interval,
    // and then stands still.
    class StandingGuard {
    public:
        StandingGuard(boost::asio::io_context& io, std::deque<PeerFrame> frames, util::Duration interval)
            : m_acceptor(listen(io))
            , m_timer(io)
            , m_frames(std::move(frames))
            , m_interval(interval)
        {
            m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
                REQUIRE(!error);
                m_link = std::make_shared<PeerLink>(std::move(socket), hello);
                m_link->accept(helloTimeout, [this](bool accepted) {
                    REQUIRE(accepted);
                    m_link->read(helloTimeout, [this](const std::optional<PeerFrame>& frame) {
                        REQUIRE(frame);
                        writeNext();
                    });
                });
            });
        }

        [[nodiscard]] Endpoint address() const { return addressOf(m_acceptor); }

    private:
        void writeNext()
        {
            if (m_frames.empty())
                return;
            m_link->write(m_frames.front(), helloTimeout, [this](bool written) {
                if (!written)
                    return;
                m_frames.pop_front();
                m_timer.expires_after(m_interval);
                m_timer.async_wait([this](boost::system::error_code error) {
                    if (!error)
                        writeNext();
                });
            });
        }

        tcp::acceptor m_acceptor;
        boost::asio::steady_timer m_timer;
        std::deque<PeerFrame> m_frames;
        util::Duration m_interval;
        std::shared_ptr<PeerLink> m_link;
    };

    struct Result {
        std::optional<Refusal> refusal;
        std::string body;
        util::Duration after {};
    };

    // Sends a request through a link to the guard and reads its response to the end.
    class EntryRequest {
    public:
        EntryRequest(
            boost::asio::io_context& io, const Endpoint& guard, bool hasBody, bool deadlineCoversBody)
            : m_io(io)
            , m_pool(io, hello)
            , m_hasBody(hasBody)
        {
            Instance peer;
            peer.name = { "i2" };
            peer.peerAddress = guard;
            RequestContext context;
            context.requestId = requestId;
            context.idempotent = true;
            context.deadline = m_started + requestTime;
            context.deadlineCoversBody = deadlineCoversBody;
            RequestHead head { "POST", "/", {}, hasBody,
                hasBody ? static_cast<std::int64_t>(longBodyBytes) : -1 };
            m_exchange = std::make_shared<PeerExchange>(
                m_pool, peer, TargetName { "t1" }, context, head, [](const TargetReport&) {});
        }

        Result run()
        {
            m_exchange->open(
                [this](const Outcome<void>& opened) { opened ? write(0) : fail(opened.error()); });
            runUntil(m_io, m_started + 10 * requestTime, m_done);
            REQUIRE(m_done);
            return m_result;
        }

    private:
        void fail(const Refusal& refusal)
        {
            m_result.refusal = refusal;
            end();
        }

        void end()
        {
            m_done = true;
            m_result.after = util::BootClock::now() - m_started;
        }

        void write(std::size_t sent)
        {
            const auto rest = m_hasBody ? longBodyBytes - sent : 0;
            const auto length = std::min(rest, bodyChunkBytes);
            m_exchange->writeBody({ std::string(length, 'x'), length == rest },
                [this, sent, length, last = length == rest](const Outcome<void>& written) {
                    if (!written)
                        return fail(written.error());
                    last ? readHead() : write(sent + length);
                });
        }

        void readHead()
        {
            m_exchange->readHead(
                [this](const Outcome<ResponseHead>& head) { head ? readBody() : fail(head.error()); });
        }

        void readBody()
        {
            m_exchange->readBody([this](const Outcome<BodyChunk>& chunk) {
                if (!chunk)
                    return fail(chunk.error());
                m_result.body += chunk->data;
                chunk->last ? end() : readBody();
            });
        }

        boost::asio::io_context& m_io;
        PeerPool m_pool;
        bool m_hasBody;
        util::Time m_started = util::BootClock::now();
        std::shared_ptr<PeerExchange> m_exchange;
        Result m_result;
        bool m_done = false;
    };

    std::deque<PeerFrame> response(int bodyFrames)
    {
        std::deque<PeerFrame> frames { ResponseFrame { requestId, { 200, {}, true, -1 }, {} } };
        for (int i = 1; i <= bodyFrames; ++i)
            frames.push_back(BodyFrame { requestId, { "x", i == bodyFrames } });
        return frames;
    }

    // A target that sends a long response.
    ScriptedAnswer longResponse(const ScriptedRequest&)
    {
        return { absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", longBodyBytes, "\r\n\r\n",
            std::string(longBodyBytes, 'x')) };
    }

} // namespace

// Guards against requests that get no answer at their entry node while the guard that forwards their
// response, or is to read their body, stands still.
TEST_CASE("a request ends at its deadline if its guard stands still", "[net]")
{
    struct Row {
        const char* description;
        std::deque<PeerFrame> frames;
        util::Duration interval;
        bool hasBody;
    };
    const Row rows[] {
        { "before the head", {}, {}, false },
        { "after the head", response(0), {}, false },
        { "in the body", { response(1).front(), BodyFrame { requestId, { "x", false } } }, {}, false },
        { "slow, but never long for one frame", response(100), requestTime / 10, false },
        { "as it is to read a body", { OpenedFrame { requestId } }, {}, true },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        boost::asio::io_context io;
        StandingGuard guard(io, row.frames, row.interval);
        const auto result = EntryRequest(io, guard.address(), row.hasBody, true).run();
        REQUIRE(result.refusal);
        CHECK(result.refusal->run == RunState::Unknown);
        CHECK(result.after < endOfWait);
    }
}

TEST_CASE("a body that arrives steadily is read past the deadline if that covers the head only", "[net]")
{
    boost::asio::io_context io;
    StandingGuard guard(io, response(15), requestTime / 10);
    const auto result = EntryRequest(io, guard.address(), false, false).run();
    CHECK_FALSE(result.refusal);
    CHECK(result.body.size() == 15);
    CHECK(result.after > requestTime);
}

// Guards against slots that requests hold past their deadlines, because their entry node stands still.
TEST_CASE("a guard releases the slot at the deadline if the entry stands still", "[net]")
{
    for (const bool hasBody : { false, true }) {
        CAPTURE(hasBody);
        boost::asio::io_context io;
        ScriptedTarget target(io, "127.0.0.1", "", longResponse);
        GuardNode guard(io, hello, target.address());
        const auto entry = std::make_shared<PeerLink>(io, hello);
        const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(requestTime).count();
        OpenFrame open { requestId, "", "t1", true, microseconds,
            { "POST", "/", {}, hasBody, hasBody ? 10 : -1 } };
        open.deadlineCoversBody = true;
        bool sent = false;
        entry->connect(guard.address(), helloTimeout, [&](bool connected) {
            REQUIRE(connected);
            entry->write(open, helloTimeout, [&](bool written) { sent = written; });
        });
        const auto started = util::BootClock::now();
        runUntil(io, started + helloTimeout, sent);
        REQUIRE(sent);
        const bool never = false;
        runUntil(io, started + requestTime / 2, never);
        CHECK(guard.slotsInUse() == 1);
        runUntil(io, started + endOfWait, never);
        CHECK(guard.slotsInUse() == 0);
        entry->close();
    }
}

} // namespace tarragonhaven::testing
