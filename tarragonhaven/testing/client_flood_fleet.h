#pragma once

#include "platform/header_names.h"
#include "platform/testing/standin_store.h"
#include "tarragonhaven/testing/client_flood_patterns.h"
#include "tarragonhaven/testing/client_flood_target.h"
#include "tarragonhaven/testing/fake_target.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"
#include "tarragonhaven/testing/spawned_process.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace tarragonhaven::testing {

struct FloodFleetOptions {
    int nodes = 1;
    // The number of descriptors that each process may have; if not set, that of the test's own process.
    std::optional<rlim_t> descriptors;
    // The longest body that the declaration allows.
    std::size_t bodyLimitBytes = floodBodyLimitBytes;
    // What the targets do with the requests of a flood. If not set, a FakeTarget runs beside each node.
    std::optional<TinyChunkAnswer> tinyChunks;
};

// A fleet on loopback addresses whose processes a test floods: nodes as the processes that the product
// installs, each with a target beside it, and a store. Targets and the store run in this process. The first
// node is the one that is flooded. The declaration has the limits of client_flood_patterns.h and a route for
// requests that are idempotent, and one for those that are not.
class FloodFleet {
public:
    explicit FloodFleet(const FloodFleetOptions& options)
        : m_folder(std::filesystem::temp_directory_path() / absl::StrCat("client-flood-", getpid()))
        , m_work(m_io.get_executor())
        , m_store(m_io, address(storeHost, storePort))
    {
        std::filesystem::create_directories(m_folder);
        m_store.put(platform::testing::configKey(), declaration(options));
        for (int node = 1; node <= options.nodes; ++node)
            addTarget(node, options);
        m_thread = std::thread([this] { m_io.run(); });
        for (int node = 1; node <= options.nodes; ++node)
            startNode(node, options.descriptors);
    }
    ~FloodFleet()
    {
        m_nodes.clear();
        m_io.stop();
        m_thread.join();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    FloodFleet(const FloodFleet&) = delete;
    FloodFleet& operator=(const FloodFleet&) = delete;

    // Waits until all nodes are ready and each has served a request, for at most ten seconds a node.
    bool awaitReady()
    {
        for (std::size_t node = 1; node <= m_nodes.size(); ++node) {
            if (!serves(static_cast<int>(node)))
                return false;
        }
        return true;
    }
    // Sends one ordinary request to a node, again and again until it is answered by a target, for at most ten
    // seconds. Returns whether it was answered.
    [[nodiscard]] static bool serves(int node)
    {
        return eventually([node] {
            const auto response = sendOrdinary(node, "GET", "/status/ordinary", std::chrono::seconds(2));
            return response && response->status == 200 && response->complete;
        });
    }
    // Sends one ordinary request to a node. Returns nothing if it gets no response within `timeout`.
    static std::optional<CallerResponse> sendOrdinary(int node, const std::string& method,
        const std::string& path, std::chrono::milliseconds timeout = std::chrono::seconds(10))
    {
        HttpCaller caller(address(node, callerPort), timeout);
        const auto key = absl::StrCat(platform::headerNames().keyScheme, " ", organisationKey);
        return caller.send({ method, path,
            { { "Host", host }, { "Authorization", key },
                { platform::headerNames().requestId, absl::StrCat("ordinary-", node) } },
            "" });
    }
    // The target beside a node, if FloodFleetOptions::tinyChunks is not set.
    [[nodiscard]] FakeTarget& target(int node) { return *m_targets.at(static_cast<std::size_t>(node - 1)); }
    [[nodiscard]] std::vector<SpawnedProcess*> processes() const
    {
        std::vector<SpawnedProcess*> result;
        for (const auto& node : m_nodes)
            result.push_back(node.get());
        return result;
    }

    // The addresses of the flooded node.
    [[nodiscard]] static Endpoint callerAddress() { return address(1, callerPort); }
    [[nodiscard]] static Endpoint peerAddress() { return address(1, peerPort); }
    [[nodiscard]] static Endpoint operatorAddress() { return address(1, operatorPort); }
    [[nodiscard]] static Endpoint metricsAddress() { return address(1, metricsPort); }

    // A path with a route of requests that are idempotent or not.
    [[nodiscard]] static FloodPath idempotentPath() { return callerPath("/status/flood"); }
    [[nodiscard]] static FloodPath uploadPath() { return callerPath("/upload/flood"); }
    // A path with a route whose response has `bytes` bytes.
    [[nodiscard]] static FloodPath largeResponsePath(int bytes)
    {
        return callerPath(absl::StrCat("/status/bytes/", bytes));
    }
    [[nodiscard]] static FloodPath pathWithoutRoute() { return callerPath("/none/flood"); }
    [[nodiscard]] static FloodPath operatorPath(const std::string& path)
    {
        return { path, absl::StrCat("Host: ", host, "\r\n") };
    }

private:
    static constexpr const char* host = "flood.example";
    static constexpr const char* organisationKey = "harbour-key";
    static constexpr std::uint16_t peerPort = 7000;
    static constexpr std::uint16_t targetPort = 8000;
    static constexpr std::uint16_t callerPort = 8001;
    static constexpr std::uint16_t operatorPort = 8002;
    static constexpr std::uint16_t metricsPort = 8003;
    static constexpr std::uint16_t storePort = 9000;
    static constexpr int storeHost = 250;
    // Enough that the requests of a flood are admitted and held, and not refused for want of a slot.
    static constexpr int slots = 64;
    // Longer than a flood, so that its requests do not end before it.
    static constexpr int deadlineMs = 20'000;

    // Tests that run at the same time use different addresses, derived from the process id.
    static Endpoint address(int addressHost, std::uint16_t port)
    {
        constexpr int firstNetwork = 20;
        constexpr int networks = 200;
        const auto process = static_cast<int>(getpid());
        return { absl::StrCat("127.", firstNetwork + process / networks % networks, ".", process % networks,
                     ".", addressHost),
            port };
    }

    static FloodPath callerPath(const std::string& path)
    {
        return { path,
            absl::StrCat("Host: ", host, "\r\nAuthorization: ", platform::headerNames().keyScheme, " ",
                organisationKey, "\r\n", platform::headerNames().requestId, ": flood-", floodConnectionNumber,
                "\r\n") };
    }

    static std::string declaration(const FloodFleetOptions& options)
    {
        platform::testing::SoakDeclaration declared;
        declared.host = host;
        declared.timeoutMs = deadlineMs;
        declared.services = { "status" };
        declared.organisations = { { "harbour", organisationKey, 0, 0 } };
        declared.routes = { { "/status/", "status" }, { "/upload/", "status", false } };
        auto document = nlohmann::json::parse(platform::testing::configValue(declared));
        document["limits"]
            = { { "max_header_bytes", floodHeadLimitBytes }, { "max_body_bytes", options.bodyLimitBytes },
                  { "header_timeout_ms", floodHeadTimeoutMs }, { "idle_timeout_ms", floodIdleTimeoutMs } };
        return document.dump();
    }

    void addTarget(int node, const FloodFleetOptions& options)
    {
        const auto name = absl::StrCat("t-", node);
        TargetRecord record;
        record.service = { "status" };
        record.target.name = { name };
        record.target.address = address(node, targetPort);
        record.target.dataCentre = { "east" };
        record.target.slots = slots;
        record.target.startTimeMs = 1'767'225'600'000;
        record.sequence = 1;
        if (options.tinyChunks)
            m_tinyChunkTargets.push_back(std::make_unique<TinyChunkTarget>(
                m_io, record.target.address, name, platform::headerNames(), *options.tinyChunks));
        else
            m_targets.push_back(
                std::make_unique<FakeTarget>(name, record.target.address, platform::headerNames()));
        m_store.put(platform::testing::targetKey(name), platform::testing::targetValue(record));
    }

    void startNode(int node, const std::optional<rlim_t>& descriptors)
    {
        const auto program
            = std::filesystem::canonical("/proc/self/exe").parent_path() / "tarragonhaven_sidecar";
        rlimit own {};
        getrlimit(RLIMIT_NOFILE, &own);
        const rlimit lowered { descriptors.value_or(own.rlim_cur), own.rlim_max };
        // A child process inherits the limit. It is set before the start, as a process may read it then.
        setrlimit(RLIMIT_NOFILE, &lowered);
        m_nodes.push_back(std::make_unique<SpawnedProcess>(program.string(),
            std::vector<std::string> { "--fleet=flood", absl::StrCat("--label=n", node), "--data_centre=east",
                "--service=status", "--target_address=" + toString(address(node, targetPort)),
                "--caller_address=" + toString(address(node, callerPort)),
                "--peer_address=" + toString(address(node, peerPort)),
                "--operator_address=" + toString(address(node, operatorPort)),
                "--metrics_address=" + toString(address(node, metricsPort)),
                "--store_address=" + toString(address(storeHost, storePort)), "--pipeline_bytes=65536" },
            (m_folder / absl::StrCat("n", node, ".log")).string()));
        setrlimit(RLIMIT_NOFILE, &own);
    }

    std::filesystem::path m_folder;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    platform::testing::StandinStore m_store;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::vector<std::unique_ptr<TinyChunkTarget>> m_tinyChunkTargets;
    std::vector<std::unique_ptr<SpawnedProcess>> m_nodes;
    std::thread m_thread;
};

} // namespace tarragonhaven::testing
