// Tests of declarations, node settings and questionnaire answers: which documents are accepted, which faults
// are reported, and how the effects of a change are described.

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/configuration_holder.h"
#include "tarragonhaven/declaration_check.h"
#include "tarragonhaven/declaration_diff.h"
#include "tarragonhaven/declaration_parse.h"
#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/node_settings_parse.h"
#include "tarragonhaven/questionnaire.h"
#include "tarragonhaven/rate_share.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace tarragonhaven::testing {

namespace {

    nlohmann::json validDocument()
    {
        return nlohmann::json::parse(writeDeclaration(testDeclaration(FleetOptions {})));
    }

    bool hasFaultAt(const nlohmann::json& document, const std::string& path)
    {
        const auto parsed = parseDeclaration(document.dump());
        if (parsed)
            return false;
        return std::any_of(parsed.error().begin(), parsed.error().end(),
            [&path](const util::Fault& fault) { return fault.path == path && !fault.reason.empty(); });
    }

} // namespace

TEST_CASE("parsing a written declaration returns an equal declaration")
{
    const auto declaration = testDeclaration(FleetOptions { 3, 4 });
    const auto parsed = parseDeclaration(writeDeclaration(declaration));
    REQUIRE(parsed);
    CHECK(*parsed == declaration);
}

TEST_CASE("all faults of a declaration are reported together, each with its path")
{
    struct Case {
        std::string pointer;
        nlohmann::json value;
        std::string path;
    };
    const std::vector<Case> cases {
        { "/schema", 2, "schema" },
        { "/unheard", 1, "unheard" },
        { "/fleet", "", "fleet" },
        { "/instances/0/peerAddress", "host.example:80", "instances[0].peerAddress" },
        { "/instances/1/dataCentre", "dc9", "instances[1].dataCentre" },
        { "/instances/1/name", "i11", "instances[1].name" },
        { "/services/0/targets/0/slots", 0, "services[0].targets[0].slots" },
        { "/services/0/targets/0/instance", "nobody", "services[0].targets[0].instance" },
        { "/services/0/floorPercent", 101, "services[0].floorPercent" },
        { "/services/0/stance", "bold", "services[0].stance" },
        { "/routes/0/service", "nowhere", "routes[0].service" },
        { "/routes/0/pattern", "no/slash", "routes[0].pattern" },
        { "/routes/0/pattern", "/a/**/b", "routes[0].pattern" },
        { "/routes/0/method", "BREW", "routes[0].method" },
        { "/routes/0/deadlineMs", 0, "routes[0].deadlineMs" },
        { "/routes/0/identity", "required", "routes[0].identity" },
        { "/ownershipGroups/0/members/0", "i21", "ownershipGroups[0].members" },
        { "/organisations/0/ratePerSecond", -1, "organisations[0].ratePerSecond" },
        { "/organisations/0/burst", 1.5, "organisations[0].burst" },
        { "/organisations/0/keys/0/sha256", "thk_plain", "organisations[0].keys[0].sha256" },
        { "/organisations/1/name", "harbour", "organisations[1].name" },
    };
    auto documentWithAllFaults = validDocument();
    for (const auto& item : cases) {
        INFO(item.pointer << " = " << item.value);
        auto document = validDocument();
        document[nlohmann::json::json_pointer(item.pointer)] = item.value;
        CHECK(hasFaultAt(document, item.path));
        documentWithAllFaults[nlohmann::json::json_pointer(item.pointer)] = item.value;
    }
    const auto parsed = parseDeclaration(documentWithAllFaults.dump());
    REQUIRE(!parsed);
    CHECK(parsed.error().size() >= cases.size() - 2);
    CHECK(!parseDeclaration("{"));
    CHECK(!parseDeclaration("[]"));
    CHECK(!parseDeclaration(""));
}

TEST_CASE("a configuration is assembled from the index and all shards, and replaced by newer revisions only")
{
    auto declaration = testDeclaration(FleetOptions {});
    for (int i = 0; i < 1000; ++i)
        declaration.organisations.push_back({ { "organisation-" + std::to_string(i) }, 1, 5, {} });
    const auto values = publishedValues(declaration);
    std::map<std::string, Configuration::Shard> shards;
    for (const auto& [name, text] : values) {
        CHECK(text.size() <= maximumValueBytes);
        if (name != indexValueName)
            shards.emplace(name, *Configuration::parseShard(std::make_shared<const std::string>(text)));
    }
    const auto index = std::make_shared<const std::string>(values.at(indexValueName));
    const auto configuration = Configuration::assemble(7, index, shards);
    REQUIRE(configuration);
    CHECK((*configuration)->organisationCount() == declaration.organisations.size());
    auto incomplete = shards;
    incomplete.erase(incomplete.begin());
    CHECK(!Configuration::assemble(7, index, incomplete));
    ConfigurationHolder holder;
    CHECK(holder.offer(*configuration) == OfferResult::Accepted);
    CHECK(holder.offer(*Configuration::assemble(6, index, shards)) == OfferResult::NotNewer);
    CHECK(holder.revision() == 7);
    holder.recordRefused(9);
    CHECK(!holder.shouldFetch(9));
    CHECK(holder.shouldFetch(10));
    // A change of one organisation rewrites only one shard and the index, whose name is fixed.
    declaration.organisations.back().burst = 6;
    const auto next = publishedValues(declaration);
    const auto unchangedShards = std::count_if(
        next.begin(), next.end(), [&](const auto& item) { return values.contains(item.first); });
    CHECK(unchangedShards == static_cast<long>(next.size()) - 1);
}

TEST_CASE("an ownership group may change by one member per revision and must list its former members")
{
    const auto before = testDeclaration(FleetOptions { 1, 4 }).index;
    auto after = before;
    after.groups[0].members.pop_back();
    CHECK(!checkTransition(before, after).empty());
    after.groups[0].formerMembers = { before.groups[0].members };
    CHECK(checkTransition(before, after).empty());
    after.groups[0].members.pop_back();
    CHECK(!checkTransition(before, after).empty());
    auto unrecorded = before;
    unrecorded.groups[0].formerMembers = { before.groups[0].members };
    CHECK(!checkTransition(before, unrecorded).empty());
}

TEST_CASE("the effects of a change of the declaration are described")
{
    const auto before = testDeclaration(FleetOptions {});
    CHECK(describeChange(before, before).empty());
    auto after = before;
    after.organisations[0].keys.clear();
    after.organisations[0].burst = 3;
    after.index.routes[0].openToAll = true;
    after.index.services[0].targets.pop_back();
    std::string description;
    for (const auto& sentence : describeChange(before, after))
        description += sentence + "\n";
    for (const char* part : { "key(s) stop working", "to 3 requests at once",
             "opens to callers without a key", "gets no new requests" }) {
        INFO(description);
        CHECK(description.find(part) != std::string::npos);
    }
}

TEST_CASE("the shares of a rate limit add up to the limit for any number of data centres")
{
    for (int burst = 1; burst <= 20; ++burst) {
        for (std::size_t dataCentres = 1; dataCentres <= 8; ++dataCentres) {
            const Organisation organisation { { "o" + std::to_string(burst) }, 12.5, burst, {} };
            double rate = 0;
            int total = 0;
            for (std::size_t i = 0; i < dataCentres; ++i) {
                const auto share = shareOf(organisation, i, dataCentres);
                rate += share.ratePerSecond;
                total += share.burst;
                CHECK((share.burst > 0 || share.ratePerSecond == 0));
            }
            CHECK(total == burst);
            CHECK(rate == Approx(12.5));
        }
    }
}

TEST_CASE("questionnaire answers, asked for or read from a file, generate a valid declaration")
{
    const std::string lines = "camp\n2\neast\nwest\n10.1.{d}.{n}\n8080\n8081\n9000\n1\n"
                              "meals\nmany\n5\n3\n60\ndetection\n2\n"
                              "check\nGET\n/meals/*\nyes\nno\n2000\n"
                              "enroll\nPOST\n/meals\nno\nyes\n5000\n"
                              "1\nschool\n10\n20\n"
        + std::string(64, 'a') + "\n";
    std::istringstream input(lines);
    std::ostringstream output;
    const auto answers = askAnswers(input, output);
    REQUIRE(answers);
    CHECK(answers->services.at(0).targets == 5);
    CHECK(answers->services.at(0).requests.at(1).harmfulIfRepeated);
    const auto reparsed = parseAnswers(writeAnswers(*answers));
    REQUIRE(reparsed);
    CHECK(*reparsed == *answers);
    const auto declaration = parseDeclaration(writeDeclaration(generateDeclaration(*answers)));
    REQUIRE(declaration);
    CHECK(declaration->index.instances.size() == 5);
    CHECK(declaration->index.services[0].sensitivity == EjectionSensitivity::Fast);
    CHECK(declaration->index.routes[1].idempotencyKeyRule == IdempotencyKeyRule::Required);
    std::istringstream truncatedInput("camp\n2\neast\n");
    CHECK(!askAnswers(truncatedInput, output));
}

TEST_CASE("all faults of node settings are reported together, each under the name of its flag")
{
    RawNodeSettings raw { "f", "i", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", {},
        "info", 1000, 500000, 20, 100 };
    CHECK(parseNodeSettings(raw));
    raw.instance = "";
    raw.callerAddress = "localhost:1";
    raw.peerAddress = "127.0.0.1:3";
    raw.logLevel = "loud";
    raw.logLinesPerSecond = 0;
    raw.drainSeconds = -1;
    raw.maximumConnections = 0;
    raw.seedPeers = { "127.0.0.1:99999" };
    const auto parsed = parseNodeSettings(raw);
    REQUIRE(!parsed);
    std::set<std::string> faultPaths;
    for (const auto& fault : parsed.error())
        faultPaths.insert(fault.path);
    CHECK(faultPaths
        == std::set<std::string> { "instance", "caller_address", "log_level", "log_lines_per_second",
            "drain_seconds", "maximum_connections", "seed_peers" });
}

} // namespace tarragonhaven::testing
