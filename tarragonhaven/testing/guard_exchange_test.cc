// Tests a guard's requests to a target that writes answers which it should not, over sockets.

#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/testing/scripted_target.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

using namespace tarragonhaven;
using namespace tarragonhaven::testing;

namespace {

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.notRun = "Not-Run";
    names.signature = "Signature";
    names.expectedTarget = "Expected";
    return names;
}

std::string goodHead(const std::string& id, const std::string& framing)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id, "\r\nSignature: s\r\n", framing, "\r\n");
}

std::string goodAnswer(const std::string& id) { return goodHead(id, "Content-Length: 5\r\n") + "12345"; }

// A refusal that names the request `id`, or none if it is empty.
std::string refusal(int status, const std::string& id)
{
    return absl::StrCat("HTTP/1.1 ", status, " Refused\r\n", id.empty() ? "" : "Request-Id: " + id + "\r\n",
        status == 421 ? "" : "Not-Run: 1\r\n", "Content-Length: 0\r\n\r\n");
}

// What a guard made of the answer to a request.
struct Result {
    std::optional<Refusal> refusal;
    int status = 0;
    std::string body;

    [[nodiscard]] bool succeeded() const { return !refusal && status == 200; }
};

// A guard and its target.
class GuardedScript {
public:
    explicit GuardedScript(ScriptedTarget::Script script)
        : m_scripted(m_io, "127.0.0.1", headerNames().requestId, std::move(script))
        , m_target(std::make_shared<GuardedTarget>(
              m_io, Target { { "t1" }, { "i1" }, m_scripted.address(), 4 }, 1, options()))
    {
    }

    // Sends a request to the target and reads its answer to the end.
    Result send(const std::string& id, bool idempotent = false)
    {
        RequestContext context;
        context.requestId = id;
        context.idempotent = idempotent;
        context.deadline = util::BootClock::now() + std::chrono::seconds(2);
        context.deadlineCoversBody = true;
        RequestHead head;
        head.method = "GET";
        head.target = "/";
        head.fields = { { headerNames().requestId, id } };
        const auto exchange = std::make_shared<GuardExchange>(m_target, context, head);
        Result result;
        bool done = false;
        const auto fail = [&](const Refusal& refusal) {
            result.refusal = refusal;
            done = true;
        };
        const std::function<void()> readBody = [&] {
            exchange->readBody([&](const Outcome<BodyChunk>& chunk) {
                if (!chunk)
                    return fail(chunk.error());
                result.body += chunk->data;
                chunk->last ? void(done = true) : readBody();
            });
        };
        exchange->open([&](const Outcome<void>& opened) {
            if (!opened)
                return fail(opened.error());
            if (beforeSend)
                beforeSend(*m_target);
            exchange->writeBody({ "", true }, [&](const Outcome<void>&) {
                exchange->readHead([&](const Outcome<ResponseHead>& response) {
                    if (!response)
                        return fail(response.error());
                    result.status = response->status;
                    response->hasBody ? readBody() : void(done = true);
                });
            });
        });
        const auto end = util::BootClock::now() + std::chrono::seconds(5);
        while (!done && util::BootClock::now() < end)
            m_io.run_one_for(std::chrono::milliseconds(50));
        REQUIRE(done);
        return result;
    }

    // Called when a request has a slot and a connection, before it is sent; may be empty.
    std::function<void(GuardedTarget&)> beforeSend;

    [[nodiscard]] int runsOf(const std::string& id) const
    {
        const auto found = m_scripted.runs().find(id);
        return found == m_scripted.runs().end() ? 0 : found->second;
    }

private:
    static GuardOptions options()
    {
        GuardOptions options;
        options.headerNames = headerNames();
        options.allowUnframedResponses = true;
        return options;
    }

    boost::asio::io_context m_io;
    ScriptedTarget m_scripted;
    std::shared_ptr<GuardedTarget> m_target;
};

} // namespace

// Guards against a request that is reported as not run although it ran, because the target wrote an earlier
// refusal once more on a kept connection.
TEST_CASE(
    "an earlier refusal that is repeated on a kept connection does not count for a later request", "[net]")
{
    for (const auto& repeated : { refusal(503, ""), refusal(429, ""), refusal(400, ""), refusal(421, ""),
             refusal(503, "earlier"), refusal(421, "earlier") }) {
        for (const auto end : { ScriptedAnswer::End::Keep, ScriptedAnswer::End::Close }) {
            INFO(repeated);
            GuardedScript script([&](const ScriptedRequest& request) {
                if (request.onConnection == 0)
                    return ScriptedAnswer { goodAnswer(request.id) };
                return ScriptedAnswer { repeated, end };
            });
            REQUIRE(script.send("r1").succeeded());
            const auto result = script.send("r2");
            REQUIRE(script.runsOf("r2") == 1);
            REQUIRE(result.refusal);
            CHECK(result.refusal->run == RunState::Unknown);
        }
    }
}

TEST_CASE("the answer that follows a repeated refusal of an earlier request is used", "[net]")
{
    GuardedScript script([&](const ScriptedRequest& request) {
        const auto repeated = request.onConnection == 0 ? "" : refusal(503, "r1");
        return ScriptedAnswer { repeated + goodAnswer(request.id) };
    });
    CHECK(script.send("r1").succeeded());
    const auto result = script.send("r2");
    CHECK(result.succeeded());
    CHECK(result.body == "12345");
    CHECK(script.runsOf("r2") == 1);
}

TEST_CASE("a refusal that is written twice does not affect the next request", "[net]")
{
    for (const auto& id : { "r1", "" }) {
        GuardedScript script([&](const ScriptedRequest& request) {
            if (request.connection == 0)
                return ScriptedAnswer { refusal(503, id) + refusal(503, id), ScriptedAnswer::End::Keep,
                    false };
            return ScriptedAnswer { goodAnswer(request.id) };
        });
        const auto refused = script.send("r1");
        REQUIRE(refused.refusal);
        CHECK(refused.refusal->run == RunState::NotRun);
        CHECK(script.send("r2").succeeded());
        CHECK(script.runsOf("r2") == 1);
    }
}

TEST_CASE(
    "a refusal that names the request, or comes first on a connection, means that it did not run", "[net]")
{
    GuardedScript script([&](const ScriptedRequest& request) {
        const bool named = request.id == "named";
        const bool refused = named || request.id == "first";
        return refused
            ? ScriptedAnswer { refusal(503, named ? request.id : ""), ScriptedAnswer::End::Keep, false }
            : ScriptedAnswer { goodAnswer(request.id) };
    });
    const auto first = script.send("first");
    REQUIRE(first.refusal);
    CHECK(first.refusal->run == RunState::NotRun);
    REQUIRE(script.send("other").succeeded());
    const auto named = script.send("named");
    REQUIRE(named.refusal);
    CHECK(named.refusal->run == RunState::NotRun);
}

// Guards against a request that reaches an evacuated target because its body came slowly while it had a slot.
TEST_CASE("a request that has a slot is not sent once the data centre of its target is evacuated", "[net]")
{
    GuardedScript script(
        [&](const ScriptedRequest& request) { return ScriptedAnswer { goodAnswer(request.id) }; });
    REQUIRE(script.send("r1").succeeded());
    GuardedTarget* guarded = nullptr;
    script.beforeSend = [&guarded](GuardedTarget& target) {
        guarded = &target;
        target.setEvacuated(true, { 1, 5 });
    };
    const auto refused = script.send("r2");
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->reason == RefusalReason::TargetEvacuated);
    CHECK(refused.refusal->run == RunState::NotRun);
    CHECK(script.runsOf("r2") == 0);
    CHECK_FALSE(guarded->busy());
    script.beforeSend = {};
    guarded->setEvacuated(false, { 1, 6 });
    CHECK(script.send("r3").succeeded());
}

// Guards against a response that looks complete although the target broke it off in the middle of its head.
TEST_CASE("an answer that ends in its head or in its body is never a complete success", "[net]")
{
    struct Row {
        const char* framing;
        const char* body;
        // Whether the body ends with the connection, so that a closed connection completes the response.
        bool endsWithConnection;
    };
    const Row rows[] {
        { "Content-Length: 5\r\n", "12345", false },
        { "Transfer-Encoding: chunked\r\n", "5\r\n12345\r\n0\r\n\r\n", false },
        { "", "12345", true },
    };
    for (const auto& row : rows) {
        const auto head = goodHead("r1", row.framing);
        const auto answer = head + row.body;
        for (const auto end : { ScriptedAnswer::End::Close, ScriptedAnswer::End::Reset }) {
            std::size_t length = 0;
            GuardedScript script([&](const ScriptedRequest&) {
                return ScriptedAnswer { answer.substr(0, length), end };
            });
            const bool mayEndInBody = row.endsWithConnection && end == ScriptedAnswer::End::Close;
            for (length = 0; length < (mayEndInBody ? head.size() : answer.size()); ++length) {
                CAPTURE(row.framing, length, static_cast<int>(end));
                const auto result = script.send("r1");
                REQUIRE(result.refusal);
                CHECK(result.refusal->run == RunState::Unknown);
            }
        }
    }
}

// Guards against a target whose answer ends the process of the node beside it: Beast throws if it is to store
// a field of 65,534 bytes or more, and nothing limits the fields after the last chunk.
TEST_CASE(
    "a long field after the last chunk of an answer affects neither the process nor the request", "[net]")
{
    GuardedScript script([](const ScriptedRequest& request) {
        const auto size = request.id == "r1" ? 65'533 : request.id == "r2" ? 65'534 : 70'000;
        return ScriptedAnswer { goodHead(request.id, "Transfer-Encoding: chunked\r\n")
            + "5\r\n12345\r\n0\r\nX: " + std::string(static_cast<std::size_t>(size), 'x') + "\r\n\r\n" };
    });
    for (const auto* id : { "r1", "r2", "r3", "r4" }) {
        CAPTURE(id);
        const auto result = script.send(id);
        CHECK(result.succeeded());
        CHECK(result.body == "12345");
    }
}
