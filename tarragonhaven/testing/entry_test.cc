// Tests how an entry accepts the head of a caller's request, without sockets.

#include "tarragonhaven/entry.h"
#include "tarragonhaven/testing/allow_all_admission.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <set>

namespace tarragonhaven::testing {

namespace {

    ConfigurationPointer testConfiguration()
    {
        auto declaration = testDeclaration({});
        for (auto& route : declaration.index.routes)
            route.objective = std::chrono::milliseconds(400);
        auto configuration = Configuration::fromDeclaration(
            1, std::make_shared<const std::string>("{}"), std::move(declaration));
        REQUIRE(configuration);
        return *configuration;
    }

    EntryOptions sidecarOptions()
    {
        EntryOptions options;
        options.queueTimeoutShareOfObjective = 1.5;
        options.prioritizeInternalRequests = true;
        return options;
    }

    // An Entry that has a configuration but never connects to the other nodes in it.
    class StandaloneEntry {
    public:
        explicit StandaloneEntry(const EntryOptions& options)
            : entry(
                { m_io, m_guard, m_peers, m_admission, m_log, m_metrics, { "i11" }, { "dc1" }, 1, options })
        {
            const auto configuration = testConfiguration();
            entry.apply(configuration, Directory::fromConfiguration(*configuration));
            entry.setReady(true);
        }

        AcceptedRequest accept(const std::string& target, const std::string& organisation)
        {
            RequestHead head;
            head.method = "GET";
            head.target = target;
            if (!organisation.empty())
                head.fields.push_back({ "X-Api-Key", testKey(organisation) });
            auto accepted = entry.accept(std::move(head));
            REQUIRE(accepted);
            return *accepted;
        }

    private:
        boost::asio::io_context m_io;
        Guard m_guard { m_io, { "i11" }, 1 };
        PeerPool m_peers { m_io, {} };
        AllowAllAdmission m_admission;
        LogChannel m_log { "i11", LogLevel::Error };
        TrafficMetrics m_metrics;

    public:
        Entry entry;
    };

} // namespace

TEST_CASE(
    "a caller's request queues for the configured share of its objective, a request from a target until "
    "its deadline")
{
    StandaloneEntry standalone(sidecarOptions());
    const auto before = util::BootClock::now();
    const auto callerRequest = standalone.accept("/status/1", "harbour");
    const auto after = util::BootClock::now();
    CHECK(callerRequest.context.queueDeadline >= before + std::chrono::milliseconds(600));
    CHECK(callerRequest.context.queueDeadline <= after + std::chrono::milliseconds(600));
    const auto internalRequest = standalone.accept("/open/1", "");
    CHECK(internalRequest.context.queueDeadline == util::Time {});
    CHECK(internalRequest.context.rank < callerRequest.context.rank);
}

// Guards against a request that uses up its attempts at the targets of an evacuated data centre, because the
// store does not answer its entry node, and against requests that are sent although all are evacuated.
TEST_CASE("an entry sends nothing to evacuated data centres, nor to those that a guard says are evacuated")
{
    StandaloneEntry standalone(sidecarOptions());
    auto& entry = standalone.entry;
    const auto targets = entry.directory()->targets();
    const auto usedDataCentres = [&entry] {
        std::set<DataCentreName> used;
        for (int i = 0; i < 100; ++i) {
            const auto choice = entry.choose({ "status" }, { .lowestCost = i % 2 == 0 });
            if (choice.target)
                used.insert(choice.target->dataCentre);
        }
        return used;
    };
    const DataCentreName own { "dc1" };
    const DataCentreName other { "dc2" };
    CHECK(usedDataCentres().contains(own));
    TargetReport report { .incarnation = 1, .sequence = 1 };
    report.evacuatedAsOf = { 1, 5 };
    entry.recordReport({ "t11" }, report);
    CHECK(usedDataCentres() == std::set { other });
    const auto apply = [&](StorePosition asOf, std::set<DataCentreName> evacuated) {
        entry.apply(entry.configuration(), std::make_shared<const Directory>(targets, 7000, asOf, evacuated));
        return usedDataCentres();
    };
    CHECK(apply({ 1, 4 }, {}) == std::set { other });
    CHECK(apply({ 1, 5 }, {}).contains(own));
    CHECK(apply({ 1, 6 }, { other }) == std::set { own });
    CHECK(apply({ 1, 7 }, { own, other }).empty());
}

} // namespace tarragonhaven::testing
