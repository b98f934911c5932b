#include "tarragonhaven/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <random>
#include <string>

namespace tarragonhaven::testing {

namespace {

    namespace http = boost::beast::http;

    std::string field(std::size_t nameBytes, std::size_t valueBytes)
    {
        return std::string(nameBytes, 'n') + ": " + std::string(valueBytes, 'v') + "\r\n";
    }

    // Parses a whole message and returns the error that ended it, if any.
    template <bool IsRequest> boost::system::error_code parse(const std::string& message)
    {
        MessageParser<IsRequest, http::string_body> parser;
        parser.eager(true);
        parser.header_limit(std::numeric_limits<std::uint32_t>::max());
        boost::system::error_code error;
        parser.put(boost::asio::buffer(message), error);
        if (!error && !parser.is_done())
            error = http::error::partial_message;
        return error;
    }

    const std::string requestLine = "POST / HTTP/1.1\r\n";
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string chunkedBody = "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n";

} // namespace

// Guards against an exception from Beast's field container that nothing catches: one message would end the
// process, and with it the requests of all other callers.
TEST_CASE("a header field that cannot be stored is an error, and a trailer field of any size is dropped")
{
    for (const auto size : { maximumFieldBytes, maximumFieldBytes + 1, maximumFieldBytes + 2,
             std::size_t { 70'000 }, std::size_t { 200'000 } }) {
        CAPTURE(size);
        const boost::system::error_code expected = size <= maximumFieldBytes
            ? boost::system::error_code {}
            : make_error_code(http::error::header_limit);
        for (const auto& text : { field(1, size), field(size, 1) }) {
            CHECK(parse<true>(requestLine + text + "Content-Length: 0\r\n\r\n") == expected);
            CHECK(parse<false>(statusLine + text + "Content-Length: 0\r\n\r\n") == expected);
            CHECK(!parse<true>(requestLine + chunkedBody + text + "\r\n"));
            CHECK(!parse<false>(statusLine + chunkedBody + text + "\r\n"));
        }
    }
}

TEST_CASE("trailer fields are not added to the header")
{
    MessageParser<false, http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(
        boost::asio::buffer(statusLine + "A: 1\r\n" + chunkedBody + "A: 2\r\nConnection: close\r\n\r\n"),
        error);
    REQUIRE(!error);
    REQUIRE(parser.is_done());
    CHECK(parser.get()["A"] == "1");
    CHECK(parser.get().count("A") == 1);
    CHECK(parser.get().keep_alive());
    CHECK(parser.get().body() == "12345");
}

// Parses messages of random parts, some of them near the limits, in random pieces.
TEST_CASE("parsing a message of random parts fails or succeeds without an exception")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&random](std::size_t count) { return random() % count; };
        const auto size = [&]() -> std::size_t {
            const std::size_t sizes[] { 0, 1, 4095, 4096, 4097, 65'533, 65'534, 65'535, 65'536, 131'072 };
            return sizes[pick(std::size(sizes))];
        };
        const auto part = [&]() -> std::string {
            switch (pick(6)) {
            case 0:
                return field(size() + 1, size());
            case 1:
                return "A: " + std::string(size(), 'v') + "\r\n " + std::string(size(), 'w') + "\r\n";
            case 2:
                return "Connection: " + std::string(size(), ',') + "close\r\n";
            case 3:
                return "Keep-Alive: timeout=" + std::string(size(), '9') + "\r\n";
            case 4:
                return std::string(size(), static_cast<char>(random())) + "\r\n";
            default:
                return "A: b\r\n";
            }
        };
        std::string message = pick(2) == 0 ? statusLine : "HTTP/1.1 200 " + std::string(size(), 'r') + "\r\n";
        for (auto count = pick(3); count > 0; --count)
            message += part();
        message += pick(4) == 0 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        message += "5;a=" + std::string(size(), 'e') + "\r\n12345\r\n0\r\n";
        for (auto count = pick(3); count > 0; --count)
            message += part();
        message += "\r\n";
        MessageParser<false, http::string_body> parser;
        parser.eager(true);
        parser.header_limit(std::numeric_limits<std::uint32_t>::max());
        std::string received;
        boost::system::error_code error;
        for (std::size_t sent = 0; sent < message.size() && !parser.is_done();) {
            const auto length = std::min(message.size() - sent, pick(100'000) + 1);
            received += message.substr(sent, length);
            sent += length;
            const auto used = parser.put(boost::asio::buffer(received), error);
            received.erase(0, used);
            if (error && error != http::error::need_more)
                break;
        }
        SUCCEED();
    }
}

} // namespace tarragonhaven::testing
