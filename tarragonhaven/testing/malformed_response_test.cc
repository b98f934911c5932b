// Responses whose head is not valid HTTP, wherever a node reads responses: from targets, the store and health
// probes, over sockets, and from peers.

#include "tarragonhaven/evacuation/cold_probe.h"
#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/http_get.h"
#include "tarragonhaven/peer_frame.h"
#include "tarragonhaven/testing/scripted_target.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

namespace {

    // The field that tells, in a health response, how long a target remains cold.
    const std::string probedField = "Cold";
    const std::string requestId = "r1";

    // Returns a response with a body of two bytes.
    std::string response(const std::string& status, const std::string& fieldName)
    {
        return absl::StrCat("HTTP/1.1 ", status, " Text\r\nRequest-Id: ", requestId, "\r\nSignature: s\r\n",
            probedField, ": 0\r\n", fieldName, ": v\r\nContent-Length: 2\r\n\r\nok");
    }

    // Names with a blank or a control byte, or without a character.
    std::vector<std::string> invalidNames()
    {
        std::vector<std::string> names { "", " ", "X Name", " X-Name", "X-Name ", "X-Name\t", "\tX-Name" };
        for (int byte = 0; byte < 0x20; ++byte)
            names.push_back(absl::StrCat("X-", std::string(1, static_cast<char>(byte)), "Name"));
        names.emplace_back("X-\x7fName");
        return names;
    }

    std::vector<std::string> malformedResponses()
    {
        std::vector<std::string> responses;
        for (const auto* status : { "000", "001", "099" }) {
            responses.push_back(response(status, "X-Name"));
            // A response that must be skipped would be one with a status from 100 to 199.
            responses.push_back(
                absl::StrCat("HTTP/1.1 ", status, " Text\r\n\r\n", response("200", "X-Name")));
        }
        for (const auto& name : invalidNames())
            responses.push_back(response("200", name));
        // Fields that are continued on a further line.
        for (const auto* folded : { "X-Name: v\r\n X-Other", "X-Name:\r\n X-Other", "X-Name:\r\n\tX-Other" })
            responses.push_back(response("200", folded));
        return responses;
    }

    // Runs until the variable is set, for at most five seconds.
    template <typename T> void runUntilSet(boost::asio::io_context& io, const std::optional<T>& variable)
    {
        const auto end = util::BootClock::now() + std::chrono::seconds(5);
        while (!variable && util::BootClock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
    }

    ScriptedTarget::Script answerWith(const std::string& bytes)
    {
        return [bytes](const ScriptedRequest&) {
            return ScriptedAnswer { bytes, ScriptedAnswer::End::Close };
        };
    }

    // Returns the head that a guard passes on for the response of its target, or a refusal.
    Outcome<ResponseHead> passedOn(const std::string& bytes)
    {
        boost::asio::io_context io;
        ScriptedTarget target(io, "127.0.0.1", "Request-Id", answerWith(bytes));
        GuardOptions options;
        options.headerNames.requestId = "Request-Id";
        options.headerNames.signature = "Signature";
        options.allowUnframedResponses = true;
        const auto guarded = std::make_shared<GuardedTarget>(
            io, Target { { "t1" }, { "i1" }, target.address(), 4 }, 1, options);
        RequestContext context;
        context.requestId = requestId;
        context.deadline = util::BootClock::now() + std::chrono::seconds(2);
        const RequestHead head { "GET", "/", { { "Request-Id", requestId } }, false, -1 };
        const auto exchange = std::make_shared<GuardExchange>(guarded, context, head);
        std::optional<Outcome<ResponseHead>> result;
        exchange->open([&](const Outcome<void>& opened) {
            REQUIRE(opened);
            exchange->writeBody({ "", true }, [&](const Outcome<void>&) {
                exchange->readHead([&](Outcome<ResponseHead> read) { result = std::move(read); });
            });
        });
        runUntilSet(io, result);
        exchange->cancel();
        REQUIRE(result);
        return *result;
    }

    GetResult fetched(const std::string& bytes)
    {
        boost::asio::io_context io;
        ScriptedTarget server(io, "127.0.0.1", "Request-Id", answerWith(bytes));
        std::optional<GetResult> result;
        const auto second = std::chrono::seconds(1);
        httpGet(io, server.address(), "/", { second, second, second },
            [&](const GetResult& read) { result = read; });
        runUntilSet(io, result);
        REQUIRE(result);
        return *result;
    }

    std::optional<util::Duration> probed(const std::string& bytes)
    {
        boost::asio::io_context io;
        ScriptedTarget target(io, "127.0.0.1", "Request-Id", answerWith(bytes));
        std::optional<std::optional<util::Duration>> result;
        probeCold(io, target.address(), "/up", probedField,
            [&](std::optional<util::Duration> remaining) { result = remaining; });
        runUntilSet(io, result);
        REQUIRE(result);
        return *result;
    }

    bool decodes(const PeerFrame& frame)
    {
        return decodeFrame(std::string_view(encodeFrame(frame)).substr(frameLengthBytes)).has_value();
    }

    PeerFrame responseFrame(int status, const HeaderField& field)
    {
        return ResponseFrame { requestId, { status, { field }, false, 0 }, {} };
    }

} // namespace

TEST_CASE("a response with a valid head is read from targets, the store and probes", "[net]")
{
    const auto valid = response("200", "X-Name");
    REQUIRE(passedOn(valid));
    REQUIRE(fetched(valid));
    CHECK(fetched(valid)->body == "ok");
    CHECK(probed(valid) == util::Duration {});
    REQUIRE(passedOn("HTTP/1.1 103 Hints\r\n\r\n" + valid));
    for (const auto* field : { "X-Empty:\r\nX-Name", "X-Blank: \t \r\nX-Name" }) {
        INFO(field);
        const auto head = passedOn(response("200", field));
        REQUIRE(head);
        CHECK(head->fields.size() == 5);
        CHECK(fetched(response("200", field)));
    }
}

// Guards against a status below 100 that counts as an interim response or reaches the caller, and against
// fields that a caller would read differently than this node.
TEST_CASE("a target's response with a status below 100 or an invalid field name is refused", "[net]")
{
    for (const auto& bytes : malformedResponses()) {
        INFO(bytes);
        const auto head = passedOn(bytes);
        REQUIRE_FALSE(head);
        CHECK(head.error().run == RunState::Unknown);
    }
}

TEST_CASE("a response of the store with a status below 100 or an invalid field name is not used", "[net]")
{
    for (const auto& bytes : malformedResponses()) {
        INFO(bytes);
        const auto result = fetched(bytes);
        REQUIRE_FALSE(result);
        CHECK(result.error() == GetFailure::Broken);
    }
}

TEST_CASE("a health response with a status below 100 or an invalid field name is not used", "[net]")
{
    for (const auto& bytes : malformedResponses()) {
        INFO(bytes);
        CHECK_FALSE(probed(bytes));
    }
}

// Guards against heads from a peer that reach a caller or a target without having been parsed as HTTP.
TEST_CASE("a frame with a status or a field that no response has is not a frame")
{
    CHECK(decodes(responseFrame(200, { "X-Name", "v\tw" })));
    CHECK(decodes(responseFrame(599, { "!#$%&'*+-.^_`|~09azAZ", "" })));
    for (const int status : { 0, 1, 99, 100, 101, 199 }) {
        CAPTURE(status);
        CHECK_FALSE(decodes(responseFrame(status, { "X-Name", "v" })));
    }
    for (const auto& name : invalidNames()) {
        INFO(name);
        CHECK_FALSE(decodes(responseFrame(200, { name, "v" })));
        CHECK_FALSE(decodes(
            OpenFrame { requestId, "o", "t", true, 1, { "GET", "/", { { name, "v" } }, false, -1 } }));
    }
    for (const auto& value :
        std::vector<std::string> { "a\r\nX-Other: b", "a\nb", "a\rb", { 'a', '\0', 'b' } }) {
        INFO(value);
        CHECK_FALSE(decodes(responseFrame(200, { "X-Name", value })));
        CHECK_FALSE(decodes(
            OpenFrame { requestId, "o", "t", true, 1, { "GET", "/", { { "X-Name", value } }, false, -1 } }));
    }
}

} // namespace tarragonhaven::testing
