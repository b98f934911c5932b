// Measures how the cost of each part in time, memory and bytes grows with its size, for the slopes in
// docs/CAPACITY.md. Prints a table. Run it alone on an idle machine, since other load distorts the times.

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/control_core.h"
#include "tarragonhaven/declaration_parse.h"
#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/peer_frame.h"
#include "tarragonhaven/service_health.h"
#include "tarragonhaven/slot_queue.h"
#include "tarragonhaven/target_chooser.h"
#include "tarragonhaven/token_cache.h"
#include "util/sha256.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <random>
#include <string>

namespace tarragonhaven {

namespace {

    double measureSeconds(const std::function<void()>& work)
    {
        const auto start = std::chrono::steady_clock::now();
        work();
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    // Aborts if `pointer` is null. Using a result in this way keeps the compiler from removing the
    // computation that produced it.
    void requireNonNull(const void* pointer)
    {
        if (!pointer)
            std::abort();
    }

    // Returns the heap memory that is allocated and not yet freed.
    double allocatedMegabytes()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
    }

    void printRow(const char* part, double size, const char* sizeUnit, double value, const char* valueUnit)
    {
        std::printf("%-34s %9.0f %-14s %12.3f %s\n", part, size, sizeUnit, value, valueUnit);
    }

    // Returns a declaration of one service with one target per instance, and one ownership group of the first
    // 15 instances.
    Declaration makeDeclaration(std::size_t organisations, std::size_t routes, std::size_t instances)
    {
        Declaration declaration;
        auto& index = declaration.index;
        index.fleet = "bench";
        index.dataCentres = { { "dc1" } };
        Service service { { "s" }, 50, EjectionSensitivity::Balanced, {} };
        OwnershipGroup group { "g", { "dc1" }, {}, {} };
        for (std::size_t i = 0; i < instances; ++i) {
            const InstanceName name { "instance-" + std::to_string(i) };
            const Endpoint caller { "10.0.0." + std::to_string(i % 250),
                static_cast<std::uint16_t>(1000 + i / 250) };
            const Endpoint peer { caller.address, static_cast<std::uint16_t>(caller.port + 10000) };
            index.instances.push_back({ name, { "dc1" }, caller, peer });
            service.targets.push_back({ { "target-" + std::to_string(i) }, name, caller, 5 });
            if (group.members.size() < 15)
                group.members.push_back(name);
        }
        index.groups = { group };
        index.services = { service };
        for (std::size_t i = 0; i < routes; ++i) {
            Route route;
            route.name = { "route-" + std::to_string(i) };
            route.method = "GET";
            route.pattern = "/area-" + std::to_string(i % 80) + "/*/item-" + std::to_string(i) + "/**";
            route.service = { "s" };
            route.deadline = std::chrono::seconds(5);
            index.routes.push_back(route);
        }
        for (std::size_t i = 0; i < organisations; ++i) {
            const auto name = "organisation-" + std::to_string(i);
            declaration.organisations.push_back({ { name }, 10, 20, { { util::sha256Hex(name), 0 } } });
        }
        return declaration;
    }

    void benchOrganisations()
    {
        for (const std::size_t count : { 1000, 8000, 32000, 130000 }) {
            const auto values = publishedValues(makeDeclaration(count, 10, 15));
            const double allocatedBefore = allocatedMegabytes();
            std::map<std::string, Configuration::Shard> shards;
            ConfigurationPointer configuration;
            std::size_t largest = 0;
            const double parse = measureSeconds([&] {
                for (const auto& [name, text] : values) {
                    if (name == indexValueName)
                        continue;
                    largest = std::max(largest, text.size());
                    shards.emplace(
                        name, *Configuration::parseShard(std::make_shared<const std::string>(text)));
                }
            });
            const double assemble = measureSeconds([&] {
                configuration = *Configuration::assemble(
                    1, std::make_shared<const std::string>(values.at(indexValueName)), shards);
            });
            const auto n = static_cast<double>(count);
            printRow("organisations: parse all shards", n, "organisations", parse * 1e3, "ms");
            printRow("organisations: assemble a change", n, "organisations", assemble * 1e3, "ms");
            printRow(
                "organisations: memory", n, "organisations", allocatedMegabytes() - allocatedBefore, "MB");
            printRow(
                "organisations: largest shard", n, "organisations", static_cast<double>(largest) / 1e3, "KB");
            printRow("organisations: index", n, "organisations",
                static_cast<double>(values.at(indexValueName).size()) / 1e3, "KB");
            printRow(
                "organisations: values", n, "organisations", static_cast<double>(values.size()), "values");
            const auto digest = util::sha256Hex("organisation-7");
            const double lookup = measureSeconds([&] {
                for (int i = 0; i < 1000000; ++i)
                    requireNonNull(configuration->organisationForKey(digest, 0));
            });
            printRow("organisations: key lookup", n, "organisations", lookup * 1e3, "ns");
        }
    }

    void benchRoutes()
    {
        for (const std::size_t count : { 400, 1600, 3200, 6400 }) {
            const auto declaration = makeDeclaration(1, count, 15);
            const RouteTable table(declaration.index.routes);
            const double lookup = measureSeconds([&] {
                for (std::size_t i = 0; i < 1000000; ++i)
                    requireNonNull(table.find("GET", "/area-7/x/item-87/rest/of/path"));
            });
            printRow("routes: lookup", static_cast<double>(count), "routes", lookup * 1e3, "ns");
            printRow("routes: index", static_cast<double>(count), "routes",
                static_cast<double>(publishedValues(declaration).at(indexValueName).size()) / 1e3, "KB");
        }
    }

    void benchInstances()
    {
        for (const std::size_t count : { 225, 450, 900, 1800 }) {
            const auto declaration = makeDeclaration(1, 10, count);
            const auto values = publishedValues(declaration);
            const double parse = measureSeconds([&] {
                if (!parseFleetIndex(values.at(indexValueName)))
                    std::abort();
            });
            printRow("instances: parse index", static_cast<double>(count), "instances", parse * 1e3, "ms");
            printRow("instances: index", static_cast<double>(count), "instances",
                static_cast<double>(values.at(indexValueName).size()) / 1e3, "KB");
        }
    }

    // Measures what one second of pings, one every 400 ms to each other member, costs one node of an
    // ownership group. Each datagram counts 28 bytes for its UDP and IP headers.
    void benchPings()
    {
        for (const std::size_t members : { 5, 10, 15, 30 }) {
            std::vector<InstanceName> names;
            for (std::size_t i = 0; i < members; ++i)
                names.push_back({ "instance-" + std::to_string(i) });
            const OwnershipGroup group { "g", { "dc1" }, names, {} };
            util::ManualClock clock;
            OwnershipTracker tracker(names[0], 1, clock.now());
            tracker.setGroup(group, clock.now());
            std::vector<OwnershipTracker> peers;
            for (std::size_t i = 1; i < members; ++i) {
                peers.emplace_back(names[i], 1, clock.now());
                peers.back().setGroup(group, clock.now());
            }
            std::size_t bytes = 0;
            double ownSeconds = 0;
            constexpr int rounds = 200;
            for (int round = 0; round < rounds; ++round) {
                clock.advance(std::chrono::milliseconds(400));
                const PingMessage ping { clock.now().time_since_epoch().count(), 1, false };
                std::vector<PongMessage> pongs;
                for (auto& peer : peers)
                    pongs.push_back(*peer.answerPing(names[0], 1, ping, clock.now()));
                ownSeconds += measureSeconds([&] {
                    tracker.renewTerms(clock.now());
                    for (std::size_t i = 0; i < pongs.size(); ++i) {
                        tracker.onPong(names[i + 1], pongs[i], clock.now());
                        tracker.answerPing(names[i + 1], 1, ping, clock.now());
                        bytes += encodeControl({ "bench", names[0], 1, ping }).size();
                        bytes += encodeControl({ "bench", names[0], 1, pongs[i] }).size();
                    }
                });
            }
            const double seconds = rounds * 0.4;
            printRow("pings: processor", static_cast<double>(members), "members", ownSeconds / seconds * 100,
                "% of a core");
            printRow("pings: bytes sent, with UDP/IP", static_cast<double>(members), "members",
                (static_cast<double>(bytes) + 28.0 * 2 * rounds * static_cast<double>(members - 1)) / seconds
                    / 1e3,
                "KB/s");
        }
    }

    void benchTokens()
    {
        const TokenRequest request { 1234567, "organisation-12345", 1, 0 };
        const TokenGrant grant { 1234567, true, 7654321, 1, 0, 0 };
        const double requestBytes = static_cast<double>(encodeControl(
            { "bench", { "instance-1234" }, 1ull << 60,
                TokenRequestMessage { { request } } }).size());
        const double grantBytes = static_cast<double>(encodeControl(
            { "bench", { "instance-1234" }, 1ull << 60,
                TokenGrantMessage { { grant } } }).size());
        printRow("tokens: an ask alone, with UDP/IP", 1, "ask", requestBytes + 28, "B");
        printRow("tokens: a grant alone, with UDP/IP", 1, "grant", grantBytes + 28, "B");
        for (const int buckets : { 1000, 8000, 32000, 130000 }) {
            RateOwner owner;
            util::ManualClock clock;
            const OwnershipTerm term { 1, clock.now(), clock.now() + std::chrono::hours(1) };
            clock.advance(std::chrono::seconds(10));
            const double allocatedBefore = allocatedMegabytes();
            const double grantSeconds = measureSeconds([&] {
                for (int i = 0; i < buckets; ++i)
                    owner.grant(
                        { 1, "organisation-" + std::to_string(i), 1, 0 }, { 10, 20 }, term, clock.now());
            });
            printRow("tokens: grant", buckets, "buckets", grantSeconds / buckets * 1e9, "ns");
            printRow("tokens: memory", buckets, "buckets", allocatedMegabytes() - allocatedBefore, "MB");
        }
        for (const int organisations : { 100, 400, 900, 3600 }) {
            TokenCacheOptions options;
            options.dataCentres = { 0 };
            TokenCache tokenCache(options);
            util::ManualClock clock;
            for (int i = 0; i < organisations; ++i)
                tokenCache.acquire(
                    { "organisation-" + std::to_string(i) }, static_cast<std::uint64_t>(i), clock.now());
            for (const auto& planned : tokenCache.takeTokenRequests())
                tokenCache.onGrant({ planned.tokenRequest.organisation },
                    { planned.tokenRequest.requestId, true, 1, 1, 0, 0 }, clock.now());
            tokenCache.takeDecisions();
            const double tickSeconds = measureSeconds([&] {
                for (int i = 0; i < 1000; ++i)
                    tokenCache.tick(clock.now());
            });
            printRow("token cache: tick (100 a second)", organisations, "organisations",
                tickSeconds * 1e3 / 1000 * 100 / 10, "% of a core");
        }
    }

    void benchHealth()
    {
        for (const int targets : { 5, 15, 51, 150 }) {
            Service service { { "s" }, 50, EjectionSensitivity::Balanced, {} };
            for (int i = 0; i < targets; ++i)
                service.targets.push_back(
                    { { "t" + std::to_string(i) }, { "i" + std::to_string(i) }, {}, 5 });
            ServiceHealth health(service);
            util::ManualClock clock;
            std::mt19937_64 random(1);
            TargetReport report;
            report.incarnation = 1;
            const double reports = measureSeconds([&] {
                for (int i = 0; i < 20000; ++i) {
                    ++report.sequence;
                    ++report.successes;
                    report.logLatencySum += 14;
                    health.recordReport(
                        service.targets[random() % service.targets.size()].name, report, clock.now());
                }
            });
            const double evaluations = measureSeconds([&] {
                for (int i = 0; i < 200; ++i)
                    health.evaluate(clock.now());
            });
            const auto equalDistance = [](const Target&) { return 0; };
            const double choices = measureSeconds([&] {
                for (int i = 0; i < 20000; ++i)
                    chooseTarget(health.views(clock.now()), { true, {} }, equalDistance, random);
            });
            printRow("health: a report", targets, "targets", reports / 20000 * 1e6, "us");
            printRow("health: an evaluation", targets, "targets", evaluations / 200 * 1e6, "us");
            printRow("health: a choice", targets, "targets", choices / 20000 * 1e6, "us");
        }
    }

    void benchPrimitives()
    {
        const double digest = measureSeconds([] {
            for (int i = 0; i < 100000; ++i)
                util::sha256Hex("thk_0123456789abcdef0123456789abcdef0123456789abcdef");
        });
        printRow("a key's digest", 1, "key", digest / 100000 * 1e9, "ns");
        LogChannel log("instance-1", LogLevel::Info);
        const double line = measureSeconds([&] {
            for (int i = 0; i < 5000; ++i)
                log.write(LogLevel::Info, "route",
                    { { "request", "i-1-2" }, { "organisation", "o" }, { "route", "r" }, { "service", "s" },
                        { "target", "t" }, { "reason", "cheaper of two draws" } });
        });
        printRow("a log line, at its producer", 1, "line", line / 5000 * 1e9, "ns");
        const ResponseFrame frame { "instance-1-2-3",
            { 200, { { "Content-Type", "text/plain" } }, true, 100 }, {} };
        const double frames = measureSeconds([&] {
            for (int i = 0; i < 100000; ++i)
                decodeFrame(std::string_view(encodeFrame(frame)).substr(frameLengthBytes));
        });
        const TargetReport report { 1ull << 60, 1000, 5, 5, 10, false, 100000, 100, 3, 1.5e6 };
        const auto encodedReport = encodeControl(
            { "bench", { "instance-1234" }, 1ull << 60, TargetReportMessage { "target-12345", report } });
        printRow(
            "target report, with UDP/IP", 1, "datagram", static_cast<double>(encodedReport.size()) + 28, "B");
        printRow("a frame, written and read", 1, "frame", frames / 100000 * 1e9, "ns");
    }

} // namespace

} // namespace tarragonhaven

int main()
{
    std::printf("%-34s %9s %-14s %12s\n", "PART", "SIZE", "OF", "COST");
    tarragonhaven::benchOrganisations();
    tarragonhaven::benchRoutes();
    tarragonhaven::benchInstances();
    tarragonhaven::benchPings();
    tarragonhaven::benchTokens();
    tarragonhaven::benchHealth();
    tarragonhaven::benchPrimitives();
    return 0;
}
