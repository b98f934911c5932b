// The memory of a node while targets and callers send bodies without end, over sockets.

#include "tarragonhaven/testing/client_flood_usage.h"
#include "tarragonhaven/testing/entry_node.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <list>
#include <thread>
#include <unistd.h>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr auto deadline = std::chrono::milliseconds(4000);
    // What a node may take beside the 11 MB that it takes without requests: 20 MB are the aim with six
    // callers.
    constexpr long maximumGrowthKb = 9 * 1024;
    constexpr int callerCount = 6;

    std::string repeat(const std::string& text, int count)
    {
        std::string result;
        for (int i = 0; i < count; ++i)
            result += text;
        return result;
    }
    const std::string tinyChunks = repeat("1\r\nx\r\n", 10'000);
    const std::string largeChunks = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
    const std::string garbage(60'000, 'x');

    // Measures the growth of the resident memory of this process at its peak.
    class PeakMemory {
    public:
        PeakMemory()
        {
            // Resets the peak.
            std::ofstream("/proc/self/clear_refs") << "5";
            m_beforeKb = memoryUsage(::getpid()).residentKb;
        }
        [[nodiscard]] long growthKb() const { return memoryUsage(::getpid()).peakKb - m_beforeKb; }

    private:
        long m_beforeKb = 0;
    };

    // Accepts connections and serves each on a thread of its own.
    class Server {
    public:
        using Serve = std::function<void(tcp::socket&)>;

        explicit Server(Serve serve)
            : m_serve(std::move(serve))
            , m_acceptor(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , m_thread([this] { accept(); })
        {
        }
        ~Server()
        {
            m_stopping = true;
            // Ends the wait for a connection.
            error_code ignored;
            tcp::socket(m_io).connect(m_acceptor.local_endpoint(), ignored);
            m_thread.join();
            for (auto& connection : m_connections) {
                connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
                connection.thread.join();
            }
        }
        Server(const Server&) = delete;
        Server& operator=(const Server&) = delete;

        [[nodiscard]] Endpoint address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    private:
        struct Connection {
            tcp::socket socket;
            std::thread thread;
        };

        void accept()
        {
            while (true) {
                error_code error;
                auto socket = m_acceptor.accept(error);
                if (m_stopping)
                    return;
                if (error)
                    continue;
                auto& connection = m_connections.emplace_back(Connection { std::move(socket), {} });
                connection.thread = std::thread([this, &connection] { m_serve(connection.socket); });
            }
        }

        Serve m_serve;
        asio::io_context m_io;
        tcp::acceptor m_acceptor;
        std::atomic<bool> m_stopping { false };
        std::list<Connection> m_connections;
        std::thread m_thread;
    };

    // Answers a request with `beginning`, in which ID stands for the id of the request, and then with
    // `repeated` until the connection ends.
    Server::Serve endlessAnswer(const std::string& beginning, const std::string& repeated)
    {
        return [beginning, &repeated](tcp::socket& socket) {
            error_code error;
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            const auto at = request.find("Request-Id: ") + std::string("Request-Id: ").size();
            auto head = beginning;
            if (const auto id = head.find("ID"); id != std::string::npos)
                head.replace(id, 2, request.substr(at, request.find('\r', at) - at));
            asio::write(socket, asio::buffer(head), error);
            while (!error)
                asio::write(socket, asio::buffer(repeated), error);
        };
    }

    std::string requestHead(const std::string& line, int id, const std::string& fields)
    {
        return absl::StrCat(line, " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer ", testKey("harbour"),
            "\r\nRequest-Id: r", id, "\r\n", fields, "\r\n");
    }

    // Sends one request on each of several connections, and `repeated` after it until the connection ends or
    // the deadline has passed. Nothing is read.
    void sendWithoutReading(
        const Endpoint& node, const std::function<std::string(int)>& head, const std::string& repeated)
    {
        std::vector<std::thread> callers;
        for (int i = 0; i < callerCount; ++i) {
            callers.emplace_back([&, i] {
                asio::io_context io;
                tcp::socket socket(io);
                error_code error;
                socket.connect({ asio::ip::make_address(node.address), node.port }, error);
                asio::write(socket, asio::buffer(head(i)), error);
                const auto end = std::chrono::steady_clock::now() + deadline;
                while (std::chrono::steady_clock::now() < end) {
                    if (repeated.empty() || error)
                        std::this_thread::sleep_for(std::chrono::milliseconds(50));
                    else
                        asio::write(socket, asio::buffer(repeated), error);
                }
            });
        }
        for (auto& caller : callers)
            caller.join();
    }

    EntryNodeOptions options(bool idempotent)
    {
        EntryNodeOptions result;
        // Uploads end at the deadline, as callers write until then.
        result.deadline = deadline - std::chrono::milliseconds(500);
        result.objective = deadline;
        result.idempotent = idempotent;
        return result;
    }

    const std::string chunkedHead
        = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a target whose bytes without end fill the memory of the node that reads them, so that the
// process ends and with it the requests of other callers.
TEST_CASE("the memory of a node is bounded while targets answer without end and callers do not read",
    "[net][memory]")
{
    struct Row {
        const char* description;
        std::string beginning;
        const std::string& repeated;
    };
    const Row rows[] {
        { "garbage", "", garbage },
        { "a header field", "HTTP/1.1 200 OK\r\nX-Long: ", garbage },
        { "a body without a length", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\n\r\n", garbage },
        { "large chunks", chunkedHead, largeChunks },
        { "chunks of one byte", chunkedHead, tinyChunks },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        Server first(endlessAnswer(row.beginning, row.repeated));
        Server second(endlessAnswer(row.beginning, row.repeated));
        EntryNode node(options(true), { { "t1", first.address() }, { "t2", second.address() } });
        const PeakMemory memory;
        sendWithoutReading(
            node.callerAddress(), [](int i) { return requestHead("GET /status/a", i, ""); }, "");
        CHECK(memory.growthKb() < maximumGrowthKb);
    }
}

TEST_CASE("the memory of a node is bounded while callers send bodies without end and targets do not read",
    "[net][memory]")
{
    for (const auto* repeated : { &largeChunks, &tinyChunks }) {
        CAPTURE(repeated->substr(0, 4));
        const auto ignore = [](tcp::socket& socket) {
            error_code error;
            socket.wait(tcp::socket::wait_error, error);
        };
        Server first(ignore);
        Server second(ignore);
        EntryNode node(options(false), { { "t1", first.address() }, { "t2", second.address() } });
        const PeakMemory memory;
        sendWithoutReading(
            node.callerAddress(),
            [](int i) { return requestHead("POST /notes", i, "Transfer-Encoding: chunked\r\n"); }, *repeated);
        CHECK(memory.growthKb() < maximumGrowthKb);
    }
}

} // namespace tarragonhaven::testing
