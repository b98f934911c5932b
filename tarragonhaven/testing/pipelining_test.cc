// Callers that send requests ahead on one connection, over sockets.

#include "tarragonhaven/testing/directed_target.h"
#include "tarragonhaven/testing/entry_node.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;
    using std::chrono::milliseconds;

    // How soon the requests of a caller that has disconnected must be cancelled.
    constexpr auto cancelTime = milliseconds(500);

    struct Answer {
        int status = 0;
        std::string id;
        std::string body;
        std::string run;
        bool closes = false;
    };

    std::string request(
        int number, const std::string& path, const std::string& method = "GET", const std::string& body = "")
    {
        return absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer ",
            testKey("harbour"), "\r\nRequest-Id: r", number, "\r\n",
            body.empty() ? "" : absl::StrCat("Content-Length: ", body.size(), "\r\n"), "\r\n", body);
    }

    class Caller {
    public:
        explicit Caller(const Endpoint& node)
            : m_stream(m_io)
        {
            // A small window, so that the node cannot write much that is not read.
            m_stream.socket().open(tcp::v4());
            m_stream.socket().set_option(asio::socket_base::receive_buffer_size(64 * 1024));
            m_stream.socket().connect({ asio::ip::make_address(node.address), node.port });
        }

        bool send(const std::string& bytes)
        {
            error_code error;
            asio::write(m_stream.socket(), asio::buffer(bytes), error);
            return !error;
        }
        void halfClose() { m_stream.socket().shutdown(tcp::socket::shutdown_send); }
        void close() { m_stream.close(); }

        // Returns the next response, or nothing if the connection ends before its end.
        std::optional<Answer> read()
        {
            http::response_parser<http::string_body> parser;
            parser.body_limit(100'000'000);
            error_code result = asio::error::timed_out;
            m_stream.expires_after(std::chrono::seconds(5));
            http::async_read(
                m_stream, m_buffer, parser, [&](error_code error, std::size_t) { result = error; });
            m_io.restart();
            m_io.run();
            if (result)
                return std::nullopt;
            const auto& message = parser.get();
            const auto text = [&message](const char* name) { return std::string(message[name]); };
            return Answer { static_cast<int>(message.result_int()), text("Request-Id"), message.body(),
                text("Tarragonhaven-Run"), !message.keep_alive() };
        }

        // Reads up to the end of the connection and returns the statuses and ids of the responses. Checks
        // that each complete response is that of its request.
        std::string readAll(std::size_t bytes = 10)
        {
            std::vector<std::string> answers;
            while (const auto answer = read()) {
                answers.push_back(
                    absl::StrCat(answer->id, " ", answer->status, answer->closes ? " close" : ""));
                if (answer->status == 200)
                    CHECK(answer->body == DirectedTarget::bodyFor(answer->id, bytes));
                if (!answer->closes)
                    continue;
                CHECK_FALSE(read());
                break;
            }
            return absl::StrJoin(answers, ", ");
        }

    private:
        asio::io_context m_io;
        boost::beast::tcp_stream m_stream;
        boost::beast::flat_buffer m_buffer;
    };

    EntryNodeOptions options()
    {
        EntryNodeOptions result;
        result.deadline = milliseconds(4000);
        result.objective = milliseconds(4000);
        result.idempotentPosts = false;
        return result;
    }

    // An entry node with two targets of four slots each.
    struct Node {
        explicit Node(const EntryNodeOptions& nodeOptions = options())
            : first("Request-Id")
            , second("Request-Id")
            , node(nodeOptions, { { "t1", first.address() }, { "t2", second.address() } })
        {
        }
        [[nodiscard]] Endpoint address() const { return node.callerAddress(); }
        [[nodiscard]] std::vector<DirectedRun> runs() const
        {
            auto result = first.runs();
            const auto others = second.runs();
            result.insert(result.end(), others.begin(), others.end());
            return result;
        }
        [[nodiscard]] int runsOf(const std::string& id) const
        {
            const auto all = runs();
            return static_cast<int>(
                std::count_if(all.begin(), all.end(), [&id](const auto& run) { return run.id == id; }));
        }
        [[nodiscard]] DirectedRun runOf(const std::string& id) const
        {
            for (const auto& run : runs()) {
                if (run.id == id)
                    return run;
            }
            return {};
        }
        bool waitForSlots(int slots)
        {
            return eventually([&] { return node.slotsInUse() == slots; });
        }

        DirectedTarget first;
        DirectedTarget second;
        EntryNode node;
    };

} // namespace

// Guards against a slow request that delays all requests behind it.
TEST_CASE("idempotent requests that were sent ahead run at once and are answered in order", "[net]")
{
    Node fleet;
    Caller caller(fleet.address());
    std::string requests;
    for (int i = 0; i < 8; ++i)
        requests += request(i, absl::StrCat("/status/w", 400 - 40 * i));
    caller.send(requests);
    REQUIRE(fleet.waitForSlots(8));
    caller.send(request(8, "/status/last", "PUT", "a small body"));
    for (int i = 0; i <= 8; ++i) {
        const auto answer = caller.read();
        REQUIRE(answer);
        CHECK(answer->id == absl::StrCat("r", i));
        CHECK(answer->body == DirectedTarget::bodyFor(answer->id, 10));
        CHECK_FALSE(answer->closes);
    }
}

// Guards against a request that runs beside one that must not run twice, or before it.
TEST_CASE("a request that is not idempotent runs after those before it and before those behind it", "[net]")
{
    Node fleet;
    Caller caller(fleet.address());
    caller.send(request(0, "/status/w200") + request(1, "/status/w100")
        + request(2, "/notes?/w100", "POST", "b") + request(3, "/status/a")
        + request(4, "/notes?/w100", "POST", "b") + request(5, "/status/b", "PUT", std::string(100'000, 'b'))
        + request(6, "/status/c"));
    for (int i = 0; i < 7; ++i) {
        const auto answer = caller.read();
        REQUIRE(answer);
        CHECK(answer->id == absl::StrCat("r", i));
        CHECK(answer->status == 200);
    }
    for (const int post : { 2, 4 }) {
        const auto alone = fleet.runOf(absl::StrCat("r", post));
        for (int i = 0; i < 7; ++i) {
            const auto run = fleet.runOf(absl::StrCat("r", i));
            CAPTURE(post, i);
            CHECK((i >= post || run.end <= alone.begin));
            CHECK((i <= post || run.begin >= alone.end));
        }
    }
    CHECK(fleet.runOf("r1").begin < fleet.runOf("r0").end);
}

TEST_CASE("refusals of pipelined requests keep their place, and a malformed one ends the connection", "[net]")
{
    struct Row {
        const char* description;
        std::string third;
        std::string expected;
    };
    auto nodeOptions = options();
    nodeOptions.callerLimits.bodyBytes = 1000;
    const auto ok = request(3, "/status/w1");
    const std::string before = "r0 200, r1 200";
    const Row rows[] {
        { "no route", request(2, "/nowhere") + ok, before + ", r2 404, r3 200" },
        { "no route, with a body", request(2, "/nowhere", "GET", "b") + ok, before + ", r2 404, r3 200" },
        { "no key", "GET /status/a HTTP/1.1\r\nHost: t\r\nRequest-Id: r2\r\n\r\n" + ok,
            before + ", r2 401, r3 200" },
        { "not a request", "\1\2 garbage\r\n\r\n" + ok, before + ",  400 close" },
        { "a large body", request(2, "/status/a", "PUT", std::string(2000, 'b')) + ok,
            before + ",  413 close" },
        { "a large body in chunks",
            "PUT /status/a HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer " + testKey("harbour")
                + "\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'b') + "\r\n0\r\n\r\n"
                + ok,
            before + " close" },
        { "the caller closes", request(2, "/status/a").insert(24, "Connection: close\r\n") + ok,
            before + ", r2 200 close" },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        Node fleet(nodeOptions);
        Caller caller(fleet.address());
        caller.send(request(0, "/status/w200") + request(1, "/status/w50") + row.third);
        std::thread closer([&] {
            std::this_thread::sleep_for(milliseconds(600));
            caller.halfClose();
        });
        auto seen = caller.readAll();
        closer.join();
        // Refusals of what is no request have an id of the node.
        for (const auto* status : { " 400", " 413" }) {
            const auto at = seen.find(status);
            const auto comma = at == std::string::npos ? at : seen.rfind(", ", at);
            if (comma != std::string::npos)
                seen.erase(comma + 2, at - comma - 2);
        }
        CHECK(seen == row.expected);
        CHECK(fleet.runsOf("r3") == (row.expected.ends_with("r3 200") ? 1 : 0));
    }
}

// Guards against requests that occupy targets though nobody waits for them.
TEST_CASE("all requests of a caller that disconnects are cancelled at once", "[net]")
{
    std::string manyRequests;
    // As many as the receive window of the node holds.
    for (int i = 100; i < 300; ++i)
        manyRequests += request(i, "/status/w3000");
    struct Row {
        const char* description;
        std::string behind;
        bool halfClose;
    };
    const Row rows[] {
        { "nothing unread", "", false },
        { "half-close", "", true },
        { "many requests unread", manyRequests, false },
        { "a body waits for its turn", request(9, "/notes", "POST", std::string(80'000, 'b')), false },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        Node fleet;
        Caller caller(fleet.address());
        std::string requests;
        for (int i = 0; i < 5; ++i)
            requests += request(i, "/status/w3000");
        caller.send(requests);
        REQUIRE(fleet.waitForSlots(5));
        caller.send(row.behind);
        std::this_thread::sleep_for(milliseconds(100));
        if (row.halfClose)
            caller.halfClose();
        else
            caller.close();
        std::this_thread::sleep_for(cancelTime);
        CHECK(fleet.node.slotsInUse() == 0);
        CHECK(fleet.runsOf("r9") == 0);
    }
}

// Guards against responses that a stopping node loses, and against requests that it reads but never answers.
TEST_CASE("a stopping node answers the requests that it has read, and the last response says so", "[net]")
{
    Node fleet;
    Caller caller(fleet.address());
    caller.send(request(0, "/status/w600") + request(1, "/status/w100") + request(2, "/status/w300")
        + request(3, "/notes", "POST", "b"));
    REQUIRE(fleet.waitForSlots(3));
    Caller idle(fleet.address());
    fleet.node.stop();
    caller.send(request(4, "/status/a") + request(5, "/status/b"));
    idle.send(request(6, "/status/w100") + request(7, "/status/w100"));
    CHECK(caller.readAll() == "r0 200, r1 200, r2 200, r3 200 close");
    CHECK(idle.readAll() == "r6 200 close");
    for (const auto* unread : { "r4", "r5", "r7" })
        CHECK(fleet.runsOf(unread) == 0);
}

TEST_CASE("requests of a node that ends are refused in order, except those whose response has begun", "[net]")
{
    Node fleet;
    Caller caller(fleet.address());
    caller.send(request(0, "/status/w3000") + request(1, "/status/w3000") + request(2, "/status/a")
        + request(3, "/notes", "POST", "b"));
    REQUIRE(fleet.waitForSlots(2));
    REQUIRE(eventually([&] { return fleet.runOf("r2").end.time_since_epoch().count() > 0; }));
    std::this_thread::sleep_for(milliseconds(50));
    fleet.node.stop();
    fleet.node.abandonRequests();
    CHECK(caller.readAll() == "r0 504, r1 504, r2 200, r3 503 close");
    CHECK(fleet.runsOf("r3") == 0);
}

// Guards against a connection that is reset because bytes are unread, so that the caller loses the response.
TEST_CASE("a caller that is still sending when the connection closes can read the last response", "[net]")
{
    Node fleet;
    Caller caller(fleet.address());
    caller.send(request(0, "/status/a").insert(24, "Connection: close\r\n") + request(1, "/status/a"));
    for (int i = 0; i < 3; ++i) {
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(caller.send(request(2, "/status/a")));
    }
    CHECK(caller.readAll() == "r0 200 close");
}

// Guards against a failure of one response that damages others, or that makes its own appear complete.
TEST_CASE("a target that dies in the middle of a response affects no other response", "[net]")
{
    // More than the buffers of the connection hold.
    constexpr std::size_t bytes = 20'000'000;
    for (const bool buffered : { true, false }) {
        CAPTURE(buffered);
        auto nodeOptions = options();
        nodeOptions.bufferedResponseBytes = buffered ? 1024 * 1024 : 0;
        Node fleet(nodeOptions);
        Caller caller(fleet.address());
        caller.send(request(0, absl::StrCat("/status/s", bytes)) + request(1, "/status/w100/s500/cut")
            + request(2, "/status/w150/s500/other") + request(3, "/status/w200/chunked"));
        // The first response is being written meanwhile.
        std::this_thread::sleep_for(milliseconds(1000));
        const auto first = caller.read();
        REQUIRE(first);
        CHECK(first->body == DirectedTarget::bodyFor("r0", bytes));
        for (const auto* id : { "r1", "r2" }) {
            const auto refused = caller.read();
            REQUIRE(refused);
            CHECK(refused->id == id);
            CHECK(refused->status >= 502);
            CHECK(refused->run == "unknown");
        }
        const auto last = caller.read();
        REQUIRE(last);
        CHECK(last->body == DirectedTarget::bodyFor("r3", 10));
    }
}

TEST_CASE("requests behind a response that is cut off are cancelled and get no response", "[net]")
{
    auto nodeOptions = options();
    nodeOptions.bufferedResponseBytes = 0;
    Node fleet(nodeOptions);
    Caller caller(fleet.address());
    caller.send(request(0, "/status/w300/s500/cut") + request(1, "/status/a") + request(2, "/status/w3000"));
    REQUIRE(fleet.waitForSlots(2));
    CHECK(caller.readAll().empty());
    std::this_thread::sleep_for(cancelTime);
    CHECK(fleet.node.slotsInUse() == 0);
}

TEST_CASE("a pipelined request that is not answered by its deadline is refused in its place", "[net]")
{
    auto nodeOptions = options();
    nodeOptions.deadline = milliseconds(700);
    nodeOptions.attempts = 1;
    Node fleet(nodeOptions);
    Caller caller(fleet.address());
    caller.send(request(0, "/status/w300") + request(1, "/status/w1000") + request(2, "/status/a"));
    std::string seen;
    for (int i = 0; i < 3; ++i) {
        const auto answer = caller.read();
        REQUIRE(answer);
        absl::StrAppend(&seen, answer->id, " ", answer->status, "; ");
    }
    CHECK(seen == "r0 200; r1 504; r2 200; ");
}

// Guards against a caller that fills the memory of a node, or keeps it from serving others.
TEST_CASE("a caller that sends thousands of requests and reads nothing takes bounded memory", "[net]")
{
    constexpr int count = 3000;
    constexpr std::size_t bytes = 40'000;
    for (const bool buffered : { true, false }) {
        CAPTURE(buffered);
        auto nodeOptions = options();
        nodeOptions.bufferedResponseBytes = buffered ? 1024 * 1024 : 0;
        nodeOptions.pipeline.heldBytes = 300'000;
        Node fleet(nodeOptions);
        Caller greedy(fleet.address());
        std::thread sender([&] {
            for (int i = 0; i < count; ++i)
                greedy.send(request(i, absl::StrCat("/status/s", bytes)));
        });
        std::size_t held = 0;
        Caller other(fleet.address());
        for (int i = 0; i < 30; ++i) {
            std::this_thread::sleep_for(milliseconds(20));
            held = std::max(held, fleet.node.heldBytes());
            other.send(request(i, "/status/a"));
            CHECK(other.read());
        }
        // What is read at a time may exceed the limit, for each request that was started ahead.
        CHECK(held < nodeOptions.pipeline.heldBytes + 16 * 16'384);
        CHECK(held > bytes);
        for (int i = 0; i < count; ++i) {
            const auto answer = greedy.read();
            REQUIRE(answer);
            REQUIRE(answer->id == absl::StrCat("r", i));
            REQUIRE(answer->body == DirectedTarget::bodyFor(answer->id, bytes));
        }
        sender.join();
        CHECK(eventually([&] { return fleet.node.heldBytes() == 0; }));
    }
}

// Guards against a response that fills the memory of a node while it waits for its turn.
TEST_CASE("a response that is larger than expected is read from its target at its turn", "[net]")
{
    constexpr std::size_t bytes = 6'000'000;
    auto nodeOptions = options();
    nodeOptions.pipeline.heldBytes = 300'000;
    Node fleet(nodeOptions);
    Caller caller(fleet.address());
    caller.send(request(0, "/status/w500") + request(1, absl::StrCat("/status/s", bytes))
        + request(2, absl::StrCat("/status/chunked/s", bytes)) + request(3, "/status/a"));
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(fleet.node.heldBytes() < nodeOptions.pipeline.heldBytes + 4 * 16'384);
    for (const auto size : { std::size_t { 10 }, bytes, bytes, std::size_t { 10 } }) {
        const auto answer = caller.read();
        REQUIRE(answer);
        CHECK(answer->body == DirectedTarget::bodyFor(answer->id, size));
    }
}

TEST_CASE("a pipelined request that waits for \"100 Continue\" is asked for its body at its turn", "[net]")
{
    Node fleet;
    Caller caller(fleet.address());
    const std::string body = "a body";
    auto expecting = request(1, "/status/a", "PUT", body).insert(24, "Expect: 100-continue\r\n");
    expecting.resize(expecting.size() - body.size());
    caller.send(request(0, "/status/w200") + expecting);
    for (const int status : { 200, 100, 200 }) {
        const auto answer = caller.read();
        REQUIRE(answer);
        CHECK(answer->status == status);
        if (status == 100)
            caller.send(body + request(2, "/status/a"));
    }
    CHECK(caller.read());
}

// Guards against a response that is delivered for another request, whatever the order in which targets
// respond.
TEST_CASE("random pipelined requests get their own responses in order", "[net]")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto pick = [&random](int limit) { return static_cast<int>(random() % limit); };
        auto nodeOptions = options();
        nodeOptions.bufferedResponseBytes = seed % 2 == 0 ? 0 : 1024 * 1024;
        Node fleet(nodeOptions);
        Caller caller(fleet.address());
        std::vector<std::pair<int, std::size_t>> expected;
        std::string bytes;
        for (int i = 0; i < 300; ++i) {
            const std::size_t size = pick(8) == 0 ? pick(200'000) + 1 : pick(500) + 1;
            const auto path = absl::StrCat("/status/w", pick(15), "/s", size, pick(3) == 0 ? "/chunked" : "");
            const auto kind = pick(20);
            expected.emplace_back(kind == 0 ? 404 : 200, kind == 1 ? 10 : size);
            bytes += kind == 0 ? request(i, "/nowhere")
                : kind == 1    ? request(i, "/notes", "POST", std::string(pick(100) + 1, 'b'))
                : kind == 2    ? request(i, path, "PUT", std::string(pick(100'000) + 1, 'b'))
                               : request(i, path);
        }
        std::thread sender([&] {
            for (std::size_t at = 0; at < bytes.size();) {
                const std::size_t length = random() % 10'000 + 1;
                caller.send(bytes.substr(at, length));
                at += length;
            }
        });
        for (std::size_t i = 0; i < expected.size(); ++i) {
            const auto answer = caller.read();
            REQUIRE(answer);
            REQUIRE(answer->id == absl::StrCat("r", i));
            REQUIRE(answer->status == expected[i].first);
            if (answer->status == 200)
                REQUIRE(answer->body == DirectedTarget::bodyFor(answer->id, expected[i].second));
        }
        sender.join();
    }
}

} // namespace tarragonhaven::testing
