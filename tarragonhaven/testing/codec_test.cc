// Encoding and decoding of peer frames and control messages, with random damage as well; detection of API
// keys in requests; matching of routes.

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/key_filter.h"
#include "tarragonhaven/peer_frame.h"
#include "tarragonhaven/route_table.h"

#include <catch2/catch.hpp>
#include <random>

namespace tarragonhaven::testing {

namespace {

    std::vector<PeerFrame> frames()
    {
        TargetReport limited;
        limited.startTimeMs = 1767225600000;
        limited.limitKnown = true;
        limited.requestLimit = 2.5;
        limited.limitedMs = 400;
        limited.evacuatedAsOf = { 1, 7 };
        limited.coldPace = 14;
        limited.coldMs = 2500;
        OpenFrame hinted { "r", "o", "t", false, 1000, {} };
        hinted.knownTargetLimit = 2.5;
        hinted.fingerprint = { 7 };
        const RequestHead request { "POST", "/a?b=c", { { "X", "y" } }, true, 12 };
        return { HelloFrame { 1, "f", "i", 7 }, OpenFrame { "r", "o", "t", true, 1000, request },
            OpenedFrame { "r" }, RefusedFrame { "r", 3, 1, 500, "why", {} },
            BodyFrame { "r", { std::string("a\0b", 3), true } },
            ResponseFrame { "r", { 200, { { "A", "b" } }, true, -1 }, {} }, ValueRequestFrame { "index" },
            ValueFrame { "index", true, 9, "{}" }, GoodbyeFrame {}, hinted,
            ResponseFrame { "r", { 200, {}, false, 0 }, limited } };
    }

    std::vector<ControlMessage> messages()
    {
        return { PingMessage { 5, 6, true }, PongMessage { 5, 6, true, { { 1, 2 } }, 3, false },
            TokenRequestMessage { { { 1, "o", 2, 3 } } }, TokenGrantMessage { { { 1, true, 2, 3, 4, 5 } } },
            TokenReturnMessage { { { "o", 1, 2 } } }, IdempotencyBeginMessage { 1, "k", "o", "p" },
            IdempotencyEndMessage { 1, "k", 2, 200 }, IdempotencyVerdictMessage { 1, 2, 3 },
            LeavingMessage {}, TargetReportMessage { "t", {} },
            TargetStateMessage { "t", 100, true, { 1, 7 } },
            CrashReportMessage { "t", 100, { { { 7 }, 3, 1, 60000 } } },
            SuspectStateMessage { { { { 7 }, 3 } } }, SuspectAnsweredMessage { { { 7 } } },
            SuspectQueryMessage { 5 }, EvacuationMessage { "east", true, { 1, 7 } } };
    }

} // namespace

TEST_CASE("peer frames and control messages are equal after encoding and decoding")
{
    for (const auto& frame : frames()) {
        const auto bytes = encodeFrame(frame);
        REQUIRE(decodeFrameLength(bytes) == bytes.size() - frameLengthBytes);
        const auto decoded = decodeFrame(std::string_view(bytes).substr(frameLengthBytes));
        REQUIRE(decoded);
        CHECK(*decoded == frame);
    }
    for (const auto& message : messages()) {
        const auto decoded = decodeControl(encodeControl({ "f", { "i" }, 3, message }));
        REQUIRE(decoded);
        CHECK(decoded->message == message);
        CHECK(decoded->from.text == "i");
    }
}

TEST_CASE("decoding damaged peer frames and control messages fails or succeeds without a crash")
{
    std::mt19937_64 random(1);
    long refused = 0;
    const auto damage = [&random](std::string bytes) {
        const auto changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % (bytes.size() + 1));
        return bytes;
    };
    for (int round = 0; round < 2000; ++round) {
        for (const auto& frame : frames())
            refused += decodeFrame(damage(encodeFrame(frame).substr(frameLengthBytes))) ? 0 : 1;
        for (const auto& message : messages())
            refused += decodeControl(damage(encodeControl({ "f", { "i" }, 3, message }))) ? 0 : 1;
    }
    CHECK(refused > 10000);
    CHECK(!decodeFrameLength(std::string(4, '\0')));
    CHECK(!decodeFrameLength("\xff\xff\xff\xff"));
    CHECK(!toRefusal({ "r", 999, 0, 0, "", {} }));
    CHECK(!toRefusal({ "r", 0, -1, 0, "", {} }));
}

// Guards against an exception, which nothing catches, as the head of a frame is written as an HTTP message.
TEST_CASE("a frame whose head cannot be written as an HTTP message is not a frame")
{
    const auto decodes = [](const PeerFrame& frame) {
        return decodeFrame(std::string_view(encodeFrame(frame)).substr(frameLengthBytes)).has_value();
    };
    const auto request = [](const HeaderField& field) {
        return OpenFrame { "r", "o", "t", true, 1000, { "GET", "/", { field }, false, -1 } };
    };
    const std::string longest(maximumFieldBytes, 'a');
    CHECK(decodes(request({ longest, longest })));
    CHECK(!decodes(request({ longest + "a", "b" })));
    CHECK(!decodes(request({ "A", longest + "b" })));
    CHECK(!decodes(ResponseFrame { "r", { 200, { { "A", longest + "b" } }, false, 0 }, {} }));
    CHECK(decodes(ResponseFrame { "r", { 999, {}, false, 0 }, {} }));
    CHECK(!decodes(ResponseFrame { "r", { 1000, {}, false, 0 }, {} }));
    CHECK(!decodes(ResponseFrame { "r", { -1, {}, false, 0 }, {} }));
}

TEST_CASE("API keys are detected in paths, queries and header fields, and are removed from fields")
{
    const std::string key = std::string(keyPrefix) + std::string(keyDigits, 'a');
    CHECK(containsKey("x" + key));
    CHECK(containsKey("/a?b=%74hk_" + std::string(keyDigits, 'A')));
    CHECK(containsKey("/a?b=%2574hk_" + std::string(keyDigits, '0')));
    CHECK(!containsKey("thk_" + std::string(keyDigits - 1, 'a')));
    CHECK(!containsKey("/status/thk_gggggggggggggggggggggggggggggggggggggggggggggggggg"));
    RequestHead head { "GET", "/",
        { { "authorization", "bearer " + key }, { "X-Other", key }, { "X-Fine", "v" } }, false, -1 };
    const auto taken = extractKey(head);
    REQUIRE(taken);
    CHECK(taken->text == key);
    CHECK(head.fields == std::vector<HeaderField> { { "X-Fine", "v" } });
    RequestHead none { "GET", "/", { { "Authorization", "Basic abc" } }, false, -1 };
    CHECK(!extractKey(none));
    CHECK(none.fields.empty());
}

TEST_CASE("the most specific matching route is chosen")
{
    const auto route = [](const std::string& name, const std::string& method, const std::string& pattern) {
        Route result;
        result.name = { name };
        result.method = method;
        result.pattern = pattern;
        return result;
    };
    const RouteTable table(
        { route("literal", "GET", "/a/b"), route("any", "GET", "/a/*"), route("rest", "GET", "/a/**"),
            route("deep", "GET", "/a/*/c"), route("post", "POST", "/a/b"), route("root", "GET", "/") });
    struct Case {
        std::string method;
        std::string path;
        std::string name;
    };
    for (const auto& item : { Case { "GET", "/a/b", "literal" }, Case { "GET", "/a/x", "any" },
             Case { "GET", "/a/x/c", "deep" }, Case { "GET", "/a/x/d", "rest" },
             Case { "GET", "/a/b/c", "deep" }, Case { "GET", "/a", "rest" }, Case { "POST", "/a/b", "post" },
             Case { "GET", "/", "root" }, Case { "GET", "/b", "" }, Case { "PUT", "/a/b", "" } }) {
        INFO(item.method << " " << item.path);
        const auto* found = table.find(item.method, item.path);
        CHECK((found ? found->name.text : "") == item.name);
    }
    CHECK(table.hasPath("/a/b/c/d"));
    CHECK(!table.hasPath("/b"));
}

} // namespace tarragonhaven::testing
