// Callers that stop sending or reading in the middle of a body, over sockets.

#include "tarragonhaven/testing/entry_node.h"
#include "tarragonhaven/testing/fake_target.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr auto deadline = std::chrono::milliseconds(1000);

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

} // namespace

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
