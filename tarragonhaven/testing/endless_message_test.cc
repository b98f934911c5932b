// Tests connections to targets, stores and callers that send bytes without end, over sockets.

#include "tarragonhaven/http_get.h"
#include "tarragonhaven/target_connection.h"
#include "tarragonhaven/testing/endless_sender.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace tarragonhaven;
using tarragonhaven::testing::EndlessSender;

namespace {

constexpr auto requestTime = std::chrono::milliseconds(600);
// What a peer may send before it is given up, if nothing more can complete its message. Covers what is
// buffered by the sockets.
constexpr std::size_t maximumUselessBytes = 8'000'000;
const std::string chunk(10'000, 'x');

// Sends a request to the target and reads its response as far as it goes. Returns the refusal that ended it.
std::optional<Refusal> exchange(boost::asio::io_context& io, const Endpoint& target)
{
    TargetConnection connection(io, { true, "", std::chrono::seconds(3) });
    std::optional<Refusal> refusal;
    const auto deadline = util::BootClock::now() + requestTime;
    const auto onFailure = [&](const Refusal& failure) {
        refusal = failure;
        connection.close();
        io.stop();
    };
    const std::function<void()> readBody = [&] {
        connection.readBody([&](const Outcome<BodyChunk>& chunk) {
            if (!chunk)
                return onFailure(chunk.error());
            if (!chunk->last)
                readBody();
        });
    };
    connection.connect(target, std::chrono::seconds(1), [&](const Outcome<void>& connected) {
        REQUIRE(connected);
        RequestHead head;
        head.method = "GET";
        head.target = "/";
        connection.beginRequest(head, "r1", deadline, true);
        connection.writeBody({ "", true }, [&](const Outcome<void>&) {
            connection.readHead([&](const Outcome<ResponseHead>& response) {
                if (!response)
                    return onFailure(response.error());
                readBody();
            });
        });
    });
    io.run_for(requestTime * 3);
    return refusal;
}

// Sends an endless request to a node and checks that the node closes the connection early.
void checkGivenUp(const Endpoint& node, const std::string& beginning, const std::string& repeated)
{
    boost::asio::io_context io;
    EndlessSender sender(io, beginning, repeated);
    sender.connect(node);
    const auto deadline = util::BootClock::now() + std::chrono::seconds(5);
    while (
        !sender.ended() && util::BootClock::now() < deadline && sender.sentBytes() < 2 * maximumUselessBytes)
        io.run_one_for(std::chrono::milliseconds(50));
    CHECK(sender.ended());
    CHECK(sender.sentBytes() < maximumUselessBytes);
}

} // namespace

// Guards against a target in trouble that keeps a request, and a node's memory, busy forever.
TEST_CASE(
    "a response that does not end is given up at the deadline, and its head or chunk framing much earlier",
    "[net]")
{
    struct Row {
        const char* description;
        std::string beginning;
        std::string repeated;
        // Whether more bytes cannot complete the response, so that it is given up at once.
        bool endsEarly;
    };
    const std::vector<Row> rows {
        { "bytes that are no response", "", chunk, true },
        { "a head field without an end", "HTTP/1.1 200 OK\r\nX-Long: ", chunk, true },
        { "head fields without an end", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", true },
        { "interim responses without an end", "", "HTTP/1.1 102 Processing\r\n\r\n", true },
        { "a reason phrase without an end", "HTTP/1.1 200 ", chunk, true },
        { "a chunk extension without an end",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=", chunk, true },
        { "a chunk size without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            std::string(10'000, '0'), true },
        { "trailer fields without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-Field: value\r\n", true },
        { "a body without a length", "HTTP/1.1 200 OK\r\n\r\n", chunk, false },
        { "chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "2710\r\n" + chunk + "\r\n", false },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        boost::asio::io_context io;
        EndlessSender target(io, row.beginning, row.repeated);
        const auto started = util::BootClock::now();
        const auto refusal = exchange(io, target.listen());
        const auto elapsed = util::BootClock::now() - started;
        REQUIRE(refusal);
        CHECK(refusal->run == RunState::Unknown);
        CHECK(elapsed < requestTime * 2);
        if (row.endsEarly) {
            CHECK(elapsed < requestTime);
            CHECK(target.sentBytes() < maximumUselessBytes);
        }
    }
}

// Guards against a store, or something on the path to it, whose answer fills the memory of a node.
TEST_CASE("a read of a value that does not end is given up in time and in bounded memory", "[net]")
{
    const std::vector<std::pair<std::string, std::string>> answers {
        { "", chunk },
        { "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", chunk },
        { "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n" + chunk, chunk },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2710\r\n" + chunk + "\r\n" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=", chunk },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n" },
        { "", "HTTP/1.1 102 Processing\r\n\r\n" },
    };
    for (const auto& [beginning, repeated] : answers) {
        CAPTURE(beginning);
        boost::asio::io_context io;
        EndlessSender store(io, beginning, repeated);
        bool failed = false;
        httpGet(io, store.listen(), "/", { requestTime },
            [&](const GetResult& result) { failed = !result || result->status != 200; });
        io.run_for(requestTime * 2);
        CHECK(failed);
        CHECK(store.sentBytes() < maximumUselessBytes);
    }
}

TEST_CASE("a caller whose request does not end is given up in bounded memory", "[net]")
{
    tarragonhaven::testing::LocalFleet fleet(
        tarragonhaven::testing::FleetOptions { .dataCentres = 1, .instancesPerDataCentre = 1 });
    fleet.startAll();
    const auto instance = fleet.instances().front();
    const std::string head = "POST /notes HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer "
        + tarragonhaven::testing::testKey("harbour") + "\r\n";
    const std::vector<std::pair<std::string, std::string>> requests {
        { "", chunk },
        { head, "X-Field: value\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n5;name=", chunk },
        { head + "Transfer-Encoding: chunked\r\n\r\n", std::string(10'000, '0') },
        { head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n" },
    };
    for (const auto& [beginning, repeated] : requests) {
        CAPTURE(beginning);
        checkGivenUp(fleet.callerAddress(instance), beginning, repeated);
    }
}

// Guards against a caller whose request ends the process of the node that reads it.
TEST_CASE("a caller's request with a long trailer field is served", "[net]")
{
    tarragonhaven::testing::LocalFleet fleet(
        tarragonhaven::testing::FleetOptions { .dataCentres = 1, .instancesPerDataCentre = 1 });
    fleet.startAll();
    const auto send = [&fleet](const std::string& rest) {
        tarragonhaven::testing::HttpCaller caller(fleet.callerAddress(fleet.instances().front()));
        const auto received = caller.sendRaw("POST /notes HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer "
                + tarragonhaven::testing::testKey("harbour")
                + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n" + rest,
            5000);
        return received.substr(0, received.find('\r'));
    };
    for (const auto size : { maximumFieldBytes, maximumFieldBytes + 1, std::size_t { 70'000 } }) {
        CAPTURE(size);
        const auto field = "X: " + std::string(size, 'x') + "\r\n";
        CHECK(send("\r\n5\r\n12345\r\n0\r\n" + field + "\r\n") == "HTTP/1.1 200 OK");
    }
    CHECK(send("\r\n5\r\n12345\r\n0\r\n\r\n") == "HTTP/1.1 200 OK");
}

TEST_CASE("an operator's request that does not end is given up in bounded memory", "[net]")
{
    tarragonhaven::testing::LocalFleet fleet(
        tarragonhaven::testing::FleetOptions { .dataCentres = 1, .instancesPerDataCentre = 1 });
    fleet.startAll();
    const auto address = fleet.operatorAddress(fleet.instances().front());
    checkGivenUp(address, "GET /ready HTTP/1.1\r\n", "X-Field: value\r\n");
    checkGivenUp(
        address, "GET /ready HTTP/1.1\r\nHost: t\r\nContent-Length: 100000000000\r\n\r\n" + chunk, chunk);
    checkGivenUp(
        address, "GET /ready HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n5;name=", chunk);
}
