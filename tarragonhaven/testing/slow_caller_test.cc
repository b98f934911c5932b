// Callers that stop sending or reading in the middle of a body, over sockets.

#include "tarragonhaven/testing/entry_node.h"
#include "tarragonhaven/testing/fake_target.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr auto deadline = std::chrono::milliseconds(1000);
    // When a request must have ended whose caller has stopped.
    constexpr auto endOfWait = deadline + std::chrono::milliseconds(500);

    std::string requestHead(const std::string& line, std::size_t bodyBytes)
    {
        return absl::StrCat(line, " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer ", testKey("harbour"),
            "\r\nRequest-Id: r1\r\nContent-Length: ", bodyBytes, "\r\n\r\n");
    }

    // An entry node with one target.
    struct Node {
        explicit Node(const EntryNodeOptions& options)
            : address { "127.0.0.1", freePort() }
            , target("t1", address, entryNodeHeaderNames())
            , node(options, { { "t1", address } })
        {
        }
        Endpoint address;
        FakeTarget target;
        EntryNode node;
    };

    EntryNodeOptions options()
    {
        EntryNodeOptions result;
        result.deadline = deadline;
        result.idempotent = false;
        return result;
    }

    tcp::socket connect(boost::asio::io_context& io, const Endpoint& server)
    {
        tcp::socket socket(io);
        // A small window, so that the node cannot write much that is not read.
        socket.open(tcp::v4());
        socket.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
        socket.connect({ boost::asio::ip::make_address(server.address), server.port });
        return socket;
    }

    // Reads until the connection ends, and returns the number of bytes.
    std::size_t readToEnd(tcp::socket& socket)
    {
        std::string received;
        boost::system::error_code error;
        return boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    }

} // namespace

// Guards against a slot that a request holds past its deadline, because its caller has stopped sending its
// body.
TEST_CASE("a request whose body does not arrive gets an answer at its deadline and frees its slot", "[net]")
{
    Node fleet(options());
    HttpCaller caller(fleet.node.callerAddress());
    const auto started = util::BootClock::now();
    const auto answer = caller.sendRaw(requestHead("POST /notes", 1'000'000) + std::string(100'000, 'b'),
        static_cast<int>(endOfWait.count()));
    const auto elapsed = util::BootClock::now() - started;
    CHECK(answer.substr(0, 12) == "HTTP/1.1 504");
    CHECK(elapsed >= deadline);
    CHECK(elapsed < endOfWait);
    CHECK(fleet.node.slotsInUse() == 0);
}

// Guards against a slot that a request holds past its deadline, because its caller has stopped reading.
TEST_CASE("a streamed response that is not read is broken off at the deadline and frees its slot", "[net]")
{
    Node fleet(options());
    boost::asio::io_context io;
    auto socket = connect(io, fleet.node.callerAddress());
    boost::asio::write(socket, boost::asio::buffer(requestHead("GET /status/bytes/30000000", 0)));
    std::this_thread::sleep_for(deadline / 2);
    CHECK(fleet.node.slotsInUse() == 1);
    std::this_thread::sleep_for(endOfWait - deadline / 2);
    CHECK(fleet.node.slotsInUse() == 0);
    CHECK(readToEnd(socket) < 30'000'000);
}

TEST_CASE(
    "a response that is complete before the deadline is delivered to a caller that reads it later", "[net]")
{
    Node fleet(options());
    boost::asio::io_context io;
    auto socket = connect(io, fleet.node.callerAddress());
    const std::size_t size = 1'000'000;
    const auto request = requestHead("GET /status/bytes/1000000", 0);
    boost::asio::write(socket,
        boost::asio::buffer("GET /status/bytes/1000000 HTTP/1.1\r\nConnection: close\r\n"
            + request.substr(request.find("Host"))));
    std::this_thread::sleep_for(endOfWait);
    CHECK(fleet.node.slotsInUse() == 0);
    CHECK(readToEnd(socket) > size);
}

// Guards against a crash: the rest of a request's body arrives just after the request was ended for the stop
// of its node.
TEST_CASE("a body that arrives as its request is abandoned is ignored", "[net]")
{
    Node fleet(options());
    for (int i = 0; i < 20; ++i) {
        boost::asio::io_context io;
        auto socket = connect(io, fleet.node.callerAddress());
        boost::asio::write(
            socket, boost::asio::buffer(requestHead("POST /notes", 1'000'000) + std::string(100'000, 'b')));
        REQUIRE(eventually([&] { return fleet.node.slotsInUse() == 1; }));
        std::thread sender([&] {
            boost::system::error_code error;
            for (int piece = 0; piece < 50 && !error; ++piece)
                boost::asio::write(socket, boost::asio::buffer(std::string(10'000, 'b')), error);
        });
        fleet.node.abandonRequests();
        sender.join();
        REQUIRE(eventually([&] { return fleet.node.slotsInUse() == 0; }));
    }
}

} // namespace tarragonhaven::testing
