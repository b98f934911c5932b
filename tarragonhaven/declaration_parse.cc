// Reads a document field by field with JsonReader, which continues after a fault. Then checks the result as a
// whole (declaration_check.h) even if fields have faults, so that one run reports both kinds of faults.

#include "tarragonhaven/declaration_parse.h"

#include "tarragonhaven/declaration_check.h"
#include "util/json_reader.h"

#include <cstdint>
#include <utility>

namespace tarragonhaven {

namespace {

    using util::Faults;
    using util::JsonReader;

    constexpr std::int64_t maximumSlots = 10'000;
    constexpr std::int64_t maximumDeadlineMs = 3'600'000;
    constexpr std::int64_t defaultDeadlineMs = 10'000;
    constexpr std::int64_t maximumBurst = 10'000'000;
    constexpr double maximumRatePerSecond = 10'000'000;
    constexpr double minimumRatePerSecond = 0.001;
    // 3000-01-01 in seconds since 1970.
    constexpr std::int64_t maximumNotAfter = 32'503'680'000;
    constexpr std::int64_t defaultFloorPercent = 50;
    constexpr std::size_t sha256Digits = 64;

    Endpoint readEndpoint(JsonReader& reader, const std::string& name)
    {
        const auto text = reader.text(name);
        const auto endpoint = parseEndpoint(text);
        if (!endpoint && !text.empty())
            reader.addFault(name, "is not an IP address and a port");
        return endpoint.value_or(Endpoint {});
    }

    std::vector<InstanceName> toInstanceNames(const std::vector<std::string>& texts)
    {
        std::vector<InstanceName> names;
        for (const auto& text : texts)
            names.push_back({ text });
        return names;
    }

    Instance readInstance(JsonReader& reader)
    {
        Instance instance;
        instance.name = { reader.text("name") };
        instance.dataCentre = { reader.text("dataCentre") };
        instance.callerAddress = readEndpoint(reader, "callerAddress");
        instance.peerAddress = readEndpoint(reader, "peerAddress");
        return instance;
    }

    OwnershipGroup readGroup(JsonReader& reader)
    {
        OwnershipGroup group;
        group.name = reader.text("name");
        group.dataCentre = { reader.text("dataCentre") };
        group.members = toInstanceNames(reader.optionalTexts("members"));
        for (const auto& former : reader.optionalTextLists("formerMembers"))
            group.formerMembers.push_back(toInstanceNames(former));
        return group;
    }

    Target readTarget(JsonReader& reader)
    {
        Target target;
        target.name = { reader.text("name") };
        target.instance = { reader.text("instance") };
        target.address = readEndpoint(reader, "address");
        target.slots = static_cast<int>(reader.integer("slots", 1, maximumSlots));
        return target;
    }

    EjectionSensitivity readSensitivity(JsonReader& reader)
    {
        const auto text = reader.textOr("stance", "balanced");
        if (text == "fast")
            return EjectionSensitivity::Fast;
        if (text == "careful")
            return EjectionSensitivity::Careful;
        if (text != "balanced")
            reader.addFault("stance", "is not one of fast, balanced, careful");
        return EjectionSensitivity::Balanced;
    }

    Service readService(JsonReader& reader)
    {
        Service service;
        service.name = { reader.text("name") };
        service.floorPercent
            = static_cast<int>(reader.integerOr("floorPercent", 0, 100, defaultFloorPercent));
        service.sensitivity = readSensitivity(reader);
        reader.objects("targets", [&](JsonReader& item) { service.targets.push_back(readTarget(item)); });
        return service;
    }

    IdempotencyKeyRule readIdempotencyKeyRule(JsonReader& reader)
    {
        const auto text = reader.textOr("identity", "none");
        if (text == "required")
            return IdempotencyKeyRule::Required;
        if (text != "none")
            reader.addFault("identity", "is neither none nor required");
        return IdempotencyKeyRule::None;
    }

    Route readRoute(JsonReader& reader)
    {
        Route route;
        route.name = { reader.text("name") };
        route.method = reader.text("method");
        route.pattern = reader.text("pattern");
        route.service = { reader.text("service") };
        route.openToAll = reader.booleanOr("openToAll", false);
        route.idempotent = reader.booleanOr("idempotent", false);
        route.idempotencyKeyRule = readIdempotencyKeyRule(reader);
        route.deadline = std::chrono::milliseconds(
            reader.integerOr("deadlineMs", 1, maximumDeadlineMs, defaultDeadlineMs));
        return route;
    }

    ApiKey readKey(JsonReader& reader)
    {
        ApiKey key;
        key.sha256 = reader.text("sha256");
        const bool hex = key.sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!key.sha256.empty() && (key.sha256.size() != sha256Digits || !hex))
            reader.addFault("sha256", "is not 64 lower-case hexadecimal digits");
        key.notAfter = reader.integerOr("notAfter", 0, maximumNotAfter, 0);
        return key;
    }

    Organisation readOrganisation(JsonReader& reader)
    {
        Organisation organisation;
        organisation.name = { reader.text("name") };
        organisation.ratePerSecond
            = reader.decimal("ratePerSecond", minimumRatePerSecond, maximumRatePerSecond);
        organisation.burst = static_cast<int>(reader.integer("burst", 1, maximumBurst));
        reader.optionalObjects("keys", [&](JsonReader& item) { organisation.keys.push_back(readKey(item)); });
        return organisation;
    }

    std::vector<Organisation> readOrganisations(JsonReader& reader)
    {
        std::vector<Organisation> organisations;
        reader.objects(
            "organisations", [&](JsonReader& item) { organisations.push_back(readOrganisation(item)); });
        return organisations;
    }

    void readSchema(JsonReader& reader)
    {
        const auto schema = reader.integer("schema", 0, 1'000'000);
        if (schema != schemaVersion)
            reader.addFault("schema",
                "is not " + std::to_string(schemaVersion) + ", the version that this program supports");
    }

    FleetIndex readIndex(JsonReader& reader)
    {
        FleetIndex index;
        index.fleet = reader.text("fleet");
        for (const auto& name : reader.optionalTexts("dataCentres"))
            index.dataCentres.push_back({ name });
        reader.objects("instances", [&](JsonReader& item) { index.instances.push_back(readInstance(item)); });
        reader.objects("ownershipGroups", [&](JsonReader& item) { index.groups.push_back(readGroup(item)); });
        reader.objects("services", [&](JsonReader& item) { index.services.push_back(readService(item)); });
        reader.objects("routes", [&](JsonReader& item) { index.routes.push_back(readRoute(item)); });
        index.organisationShards = reader.optionalTexts("organisationShards");
        return index;
    }

    void append(Faults& faults, const Faults& more) { faults.insert(faults.end(), more.begin(), more.end()); }

    // Parses a document: `read` reads its fields, and `check` checks the resulting value as a whole. Returns
    // the faults of both, and a fault for each unknown field.
    template <typename Read, typename Check>
    auto parseDocument(const std::string& text, Read read, Check check)
        -> util::Checked<decltype(read(std::declval<JsonReader&>()))>
    {
        const auto document = util::parseJsonObject(text);
        if (!document)
            return tl::unexpected(document.error());
        Faults faults;
        JsonReader reader(*document, "", faults);
        readSchema(reader);
        auto value = read(reader);
        reader.rejectUnknownFields();
        append(faults, check(value));
        if (!faults.empty())
            return tl::unexpected(faults);
        return value;
    }

    Declaration readDeclaration(JsonReader& reader)
    {
        Declaration declaration;
        declaration.index = readIndex(reader);
        declaration.organisations = readOrganisations(reader);
        return declaration;
    }

    Faults checkDeclaration(const Declaration& declaration)
    {
        auto faults = checkIndex(declaration.index);
        append(faults, checkOrganisations(declaration.organisations));
        if (!declaration.index.organisationShards.empty())
            faults.push_back(
                { "organisationShards", "must not be declared; the values command generates it" });
        return faults;
    }

} // namespace

util::Checked<Declaration> parseDeclaration(const std::string& text)
{
    return parseDocument(text, readDeclaration, checkDeclaration);
}

util::Checked<FleetIndex> parseFleetIndex(const std::string& text)
{
    return parseDocument(text, readIndex, checkIndex);
}

util::Checked<std::vector<Organisation>> parseOrganisationShard(const std::string& text)
{
    return parseDocument(text, readOrganisations, checkOrganisations);
}

} // namespace tarragonhaven
