// Distributes organisations over shards by a hash of their names. The number of shards is a power of two that
// grows with the number of organisations, so that shards stay small: after a change of one organisation, only
// one shard and the index have to be distributed. The name of a shard contains the SHA-256 digest of its
// text.

#include "tarragonhaven/declaration_write.h"

#include "tarragonhaven/declaration_parse.h"
#include "util/check.h"
#include "util/sha256.h"

#include <nlohmann/json.hpp>

namespace tarragonhaven {

namespace {

    using nlohmann::ordered_json;

    constexpr std::size_t organisationsPerShard = 128;

    ordered_json toJson(const Target& target);
    ordered_json toJson(const OwnershipGroup& group);
    ordered_json toJson(const Service& service);
    ordered_json toJson(const Route& route);
    ordered_json toJson(const ApiKey& key);
    ordered_json toJson(const Organisation& organisation);

    ordered_json toJson(const Instance& instance)
    {
        return { { "name", instance.name.text }, { "dataCentre", instance.dataCentre.text },
            { "callerAddress", toString(instance.callerAddress) },
            { "peerAddress", toString(instance.peerAddress) } };
    }

    ordered_json toJson(const std::vector<InstanceName>& names)
    {
        auto array = ordered_json::array();
        for (const auto& name : names)
            array.push_back(name.text);
        return array;
    }

    ordered_json toJson(const OwnershipGroup& group)
    {
        auto former = ordered_json::array();
        for (const auto& members : group.formerMembers)
            former.push_back(toJson(members));
        return { { "name", group.name }, { "dataCentre", group.dataCentre.text },
            { "members", toJson(group.members) }, { "formerMembers", former } };
    }

    ordered_json toJson(const Target& target)
    {
        return { { "name", target.name.text }, { "instance", target.instance.text },
            { "address", toString(target.address) }, { "slots", target.slots } };
    }

    template <typename Items> ordered_json toArray(const Items& items)
    {
        auto array = ordered_json::array();
        for (const auto& item : items)
            array.push_back(toJson(item));
        return array;
    }

    const char* sensitivityText(EjectionSensitivity sensitivity)
    {
        switch (sensitivity) {
        case EjectionSensitivity::Fast:
            return "fast";
        case EjectionSensitivity::Balanced:
            return "balanced";
        case EjectionSensitivity::Careful:
            return "careful";
        }
        return "balanced";
    }

    ordered_json toJson(const Service& service)
    {
        return { { "name", service.name.text }, { "floorPercent", service.floorPercent },
            { "stance", sensitivityText(service.sensitivity) }, { "targets", toArray(service.targets) } };
    }

    ordered_json toJson(const Route& route)
    {
        const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(route.deadline);
        return { { "name", route.name.text }, { "method", route.method }, { "pattern", route.pattern },
            { "service", route.service.text }, { "openToAll", route.openToAll },
            { "idempotent", route.idempotent },
            { "identity", route.idempotencyKeyRule == IdempotencyKeyRule::Required ? "required" : "none" },
            { "deadlineMs", deadline.count() } };
    }

    ordered_json toJson(const ApiKey& key)
    {
        return { { "sha256", key.sha256 }, { "notAfter", key.notAfter } };
    }

    ordered_json toJson(const Organisation& organisation)
    {
        return { { "name", organisation.name.text }, { "ratePerSecond", organisation.ratePerSecond },
            { "burst", organisation.burst }, { "keys", toArray(organisation.keys) } };
    }

    ordered_json toJson(const FleetIndex& index)
    {
        auto dataCentres = ordered_json::array();
        for (const auto& dataCentre : index.dataCentres)
            dataCentres.push_back(dataCentre.text);
        return { { "schema", schemaVersion }, { "fleet", index.fleet }, { "dataCentres", dataCentres },
            { "instances", toArray(index.instances) }, { "ownershipGroups", toArray(index.groups) },
            { "services", toArray(index.services) }, { "routes", toArray(index.routes) } };
    }

    std::size_t shardCount(std::size_t organisations)
    {
        std::size_t count = 1;
        while (count * organisationsPerShard < organisations)
            count *= 2;
        return count;
    }

    std::size_t shardOf(const OrganisationName& name, std::size_t count)
    {
        return std::stoull(util::sha256Hex(name.text).substr(0, 8), nullptr, 16) % count;
    }

} // namespace

std::string writeDeclaration(const Declaration& declaration)
{
    auto document = toJson(declaration.index);
    document["organisations"] = toArray(declaration.organisations);
    return document.dump(2) + "\n";
}

std::map<std::string, std::string> publishedValues(const Declaration& declaration)
{
    const auto shardTotal = shardCount(declaration.organisations.size());
    std::vector<ordered_json> shards(shardTotal, ordered_json::array());
    for (const auto& organisation : declaration.organisations)
        shards[shardOf(organisation.name, shardTotal)].push_back(toJson(organisation));
    std::map<std::string, std::string> values;
    auto shardNames = ordered_json::array();
    for (const auto& shard : shards) {
        const ordered_json document { { "schema", schemaVersion }, { "organisations", shard } };
        const auto text = document.dump();
        TARRAGONHAVEN_CHECK(text.size() <= maximumValueBytes,
            "a shard of organisations must not exceed the maximum size of a published value");
        const auto name = "organisations-" + util::sha256Hex(text);
        shardNames.push_back(name);
        values[name] = text;
    }
    auto index = toJson(declaration.index);
    index["organisationShards"] = shardNames;
    values[indexValueName] = index.dump();
    return values;
}

} // namespace tarragonhaven
