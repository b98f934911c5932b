// Tests how an entry accepts the head of a caller's request, without sockets.

#include "tarragonhaven/entry.h"
#include "tarragonhaven/testing/allow_all_admission.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>
#include <map>
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

// Guards against requests that leave the regions which their route or their organisation allows, also because
// a region is not known.
TEST_CASE("a request may be sent only to regions that both its route and its organisation allow")
{
    using List = std::optional<RegionList>;
    const List none;
    const List nowhere = RegionList {};
    const List north = RegionList { { "north" } };
    const List both = RegionList { { "south" }, { "north" } };
    const List unknown = RegionList { { "east" } };
    const RegionTable table { { { "dc1" }, { "north" } }, { { "dc2" }, { "south" } } };
    const RegionTable partial { { { "dc1" }, { "north" } } };
    struct Row {
        List route;
        List organisation;
        RegionTable table;
        std::set<std::string> dataCentres;
    };
    const std::vector<Row> rows { { none, none, table, { "dc1", "dc2" } },
        { none, none, {}, { "dc1", "dc2" } }, { north, none, table, { "dc1" } },
        { none, north, table, { "dc1" } }, { both, north, table, { "dc1" } },
        { both, none, table, { "dc1", "dc2" } }, { both, none, partial, { "dc1" } }, { north, none, {}, {} },
        { north, unknown, table, {} }, { unknown, none, table, {} }, { nowhere, none, table, {} },
        { none, nowhere, table, {} } };
    for (std::size_t i = 0; i < rows.size(); ++i) {
        CAPTURE(i);
        auto declaration = testDeclaration({});
        for (auto& route : declaration.index.routes)
            route.allowedRegions = rows[i].route;
        for (auto& organisation : declaration.organisations)
            organisation.allowedRegions = rows[i].organisation;
        const auto configuration = Configuration::fromDeclaration(
            2, std::make_shared<const std::string>("{}"), std::move(declaration));
        REQUIRE(configuration);
        auto options = sidecarOptions();
        options.regions = rows[i].table;
        StandaloneEntry standalone(options);
        auto& entry = standalone.entry;
        entry.apply(*configuration, Directory::fromConfiguration(**configuration));
        RequestHead head { "GET", "/status/1", { { "X-Api-Key", testKey("harbour") } } };
        const auto accepted = entry.accept(head);
        if (rows[i].dataCentres.empty()) {
            REQUIRE_FALSE(accepted);
            CHECK(accepted.error().reason == RefusalReason::RegionNotAllowed);
            CHECK(httpStatus(accepted.error().reason) == 503);
            CHECK(accepted.error().run == RunState::NotRun);
            continue;
        }
        REQUIRE(accepted);
        std::set<std::string> used;
        for (int draw = 0; draw < 100; ++draw) {
            ChoiceRequest request;
            request.spilloverLoad = draw % 2;
            const auto choice = entry.choose({ "status" }, request, accepted->regions);
            REQUIRE(choice.target);
            CHECK(entry.isAllowed(*choice.target, accepted->regions));
            used.insert(choice.target->dataCentre.text);
        }
        CHECK(used == rows[i].dataCentres);
    }
}

// Guards against a plan that is made although it is not enabled, or that is not made from reports alone.
TEST_CASE("an entry places first attempts by the load that guards report, if that is enabled")
{
    for (const bool enabled : { true, false }) {
        auto options = sidecarOptions();
        options.spill.enabled = enabled;
        StandaloneEntry standalone(options);
        auto& entry = standalone.entry;
        const auto request = standalone.accept("/status/1", "harbour");
        CHECK_FALSE(entry.place(request).first);
        for (const auto& target : entry.directory()->targetsOf({ "status" })) {
            TargetReport report { .incarnation = 1, .sequence = 1, .slots = target.slots };
            // Averages need two reports.
            entry.recordReport(target.name, report);
            report.sequence = 2;
            report.successes = 10;
            report.logLatencySum = 10 * 18;
            const bool own = target.dataCentre.text == "dc1";
            report.slotsInUse = own ? target.slots : 0;
            report.waiting = own ? target.slots : 0;
            entry.recordReport(target.name, report);
        }
        entry.tick();
        std::map<std::string, int> placed;
        for (int i = 0; i < 200; ++i) {
            const auto placement = entry.place(request);
            ++placed[placement.first ? placement.first->text : ""];
        }
        CAPTURE(enabled, placed);
        CHECK(placed[""] == (enabled ? 0 : 200));
        CHECK((placed["dc2"] > 20) == enabled);
        CHECK((placed["dc1"] > 20) == enabled);
    }
}

TEST_CASE("the table of regions is parsed as far as it is valid, and unknown regions in lists are found")
{
    util::Faults faults;
    const auto table = parseRegionTable(R"({"dc1":"north","dc2":7,"dc3":""})", "regions", faults);
    CHECK(table == RegionTable { { { "dc1" }, { "north" } } });
    CHECK(parseRegionTable("", "regions", faults).empty());
    CHECK(parseRegionTable("null", "regions", faults).empty());
    CHECK(faults.empty());
    CHECK(parseRegionTable("north", "regions", faults).empty());
    CHECK(faults.size() == 1);
    auto declaration = testDeclaration({});
    declaration.index.routes[0].allowedRegions = RegionList { { "north" }, { "east" } };
    declaration.organisations[0].allowedRegions = RegionList { { "west" } };
    const auto configuration = Configuration::fromDeclaration(
        2, std::make_shared<const std::string>("{}"), std::move(declaration));
    REQUIRE(configuration);
    CHECK(unknownRegions(**configuration, table) == std::set<RegionName> { { "east" }, { "west" } });
}

} // namespace tarragonhaven::testing
