// Tests a connection to a target that sends bytes without end, over sockets.

#include "tarragonhaven/target_connection.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

using namespace tarragonhaven;
using tcp = boost::asio::ip::tcp;

namespace {

// Accepts one connection, sends `beginning` and then `repeated` until the peer closes the connection.
class EndlessTarget {
public:
    EndlessTarget(boost::asio::io_context& io, std::string beginning, std::string repeated)
        : m_acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), testing::freePort()))
        , m_socket(io)
        , m_pending(std::move(beginning))
        , m_repeated(std::move(repeated))
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code error) {
            if (!error)
                send();
        });
    }

    [[nodiscard]] Endpoint address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    [[nodiscard]] std::size_t sentBytes() const { return m_sentBytes; }

private:
    void send()
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(m_pending),
            [this](boost::system::error_code error, std::size_t bytes) {
                m_sentBytes += bytes;
                m_pending = m_repeated;
                if (!error)
                    send();
            });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_pending;
    std::string m_repeated;
    std::size_t m_sentBytes = 0;
};

constexpr auto requestTime = std::chrono::milliseconds(600);

// Sends a request to the target and reads its response as far as it goes. Returns the refusal that ended it.
std::optional<Refusal> exchange(boost::asio::io_context& io, const EndlessTarget& target)
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
    connection.connect(target.address(), std::chrono::seconds(1), [&](const Outcome<void>& connected) {
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

} // namespace

// Guards against a target in trouble that keeps a request, and a node's memory, busy forever.
TEST_CASE("a response that does not end is given up at the deadline, and its head much earlier", "[net]")
{
    struct Row {
        const char* description;
        std::string beginning;
        std::string repeated;
        bool endsInHead;
    };
    const std::string chunk(10'000, 'x');
    const std::vector<Row> rows {
        { "bytes that are no response", "", chunk, true },
        { "a head field without an end", "HTTP/1.1 200 OK\r\nX-Long: ", chunk, true },
        { "head fields without an end", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", true },
        { "interim responses without an end", "", "HTTP/1.1 102 Processing\r\n\r\n", false },
        { "a body without a length", "HTTP/1.1 200 OK\r\n\r\n", chunk, false },
        { "chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "2710\r\n" + chunk + "\r\n", false },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        boost::asio::io_context io;
        EndlessTarget target(io, row.beginning, row.repeated);
        const auto started = util::BootClock::now();
        const auto refusal = exchange(io, target);
        const auto elapsed = util::BootClock::now() - started;
        REQUIRE(refusal);
        CHECK(refusal->run == RunState::Unknown);
        CHECK(elapsed < requestTime * 2);
        if (row.endsInHead) {
            CHECK(elapsed < requestTime);
            CHECK(target.sentBytes() < 8'000'000);
        }
    }
}
