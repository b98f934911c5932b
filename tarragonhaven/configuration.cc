// The lookup tables hold pointers and string views into the index and the shards, which live as long as the
// configuration. A new revision shares its unchanged shards with the old revision, so that two revisions need
// little more memory than one.

#include "tarragonhaven/configuration.h"

#include "tarragonhaven/declaration_parse.h"
#include "tarragonhaven/declaration_write.h"

#include <algorithm>
#include <iterator>

namespace tarragonhaven {

namespace {

    template <typename Table>
    auto findOrNull(const Table& table, const std::string& name) -> typename Table::mapped_type
    {
        const auto found = table.find(name);
        return found == table.end() ? nullptr : found->second;
    }

    std::vector<Route> patternRoutes(const std::vector<Route>& routes)
    {
        std::vector<Route> result;
        std::copy_if(routes.begin(), routes.end(), std::back_inserter(result),
            [](const Route& route) { return route.host.empty(); });
        return result;
    }

    // The name of the single shard that holds all organisations of a declaration that was not published in
    // shards.
    constexpr const char* soleShardName = "organisations";

} // namespace

util::Checked<Configuration::Shard> Configuration::parseShard(Text text)
{
    auto organisations = parseOrganisationShard(*text);
    if (!organisations)
        return tl::unexpected(organisations.error());
    return Shard { std::move(text),
        std::make_shared<const std::vector<Organisation>>(std::move(*organisations)) };
}

util::Checked<ConfigurationPointer> Configuration::assemble(
    Revision revision, Text indexText, std::map<std::string, Shard> shards)
{
    auto index = parseFleetIndex(*indexText);
    if (!index)
        return tl::unexpected(index.error());
    for (const auto& name : index->organisationShards) {
        if (!shards.contains(name))
            return tl::unexpected(util::Faults {
                { "organisationShards", "the index lists shard " + name + ", which is missing" } });
    }
    std::shared_ptr<Configuration> configuration(
        new Configuration(revision, std::move(indexText), std::move(*index), std::move(shards)));
    auto faults = configuration->buildTables();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return ConfigurationPointer(std::move(configuration));
}

util::Checked<ConfigurationPointer> Configuration::fromDeclaration(
    Revision revision, Text text, Declaration declaration)
{
    std::map<std::string, Shard> shards;
    shards.emplace(soleShardName,
        Shard { nullptr,
            std::make_shared<const std::vector<Organisation>>(std::move(declaration.organisations)) });
    std::shared_ptr<Configuration> configuration(
        new Configuration(revision, std::move(text), std::move(declaration.index), std::move(shards)));
    auto faults = configuration->buildTables();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return ConfigurationPointer(std::move(configuration));
}

Configuration::Configuration(
    Revision revision, Text indexText, FleetIndex index, std::map<std::string, Shard> shards)
    : m_revision(revision)
    , m_indexText(std::move(indexText))
    , m_index(std::move(index))
    , m_shards(std::move(shards))
    , m_routes(patternRoutes(m_index.routes))
    , m_prefixRoutes(m_index.routes)
{
}

Configuration::Text Configuration::text(const std::string& valueName) const
{
    if (valueName == indexValueName)
        return m_indexText;
    const auto found = m_shards.find(valueName);
    return found == m_shards.end() ? nullptr : found->second.text;
}

util::Faults Configuration::buildTables()
{
    for (const auto& instance : m_index.instances)
        m_instances.emplace(instance.name.text, &instance);
    for (const auto& service : m_index.services) {
        m_services.emplace(service.name.text, &service);
        for (const auto& target : service.targets)
            m_targets.emplace(target.name.text, &target);
    }
    util::Faults faults;
    for (const auto& [name, shard] : m_shards) {
        for (const auto& organisation : *shard.organisations)
            addOrganisation(organisation, faults);
    }
    return faults;
}

void Configuration::addOrganisation(const Organisation& organisation, util::Faults& faults)
{
    if (!m_organisations.emplace(organisation.name.text, &organisation).second)
        faults.push_back({ "organisations", "\"" + organisation.name.text + "\" is declared twice" });
    for (const auto& key : organisation.keys) {
        if (!m_keys.emplace(key.sha256, KeyEntry { &organisation, key.notAfter }).second)
            faults.push_back(
                { "organisations", "a key of \"" + organisation.name.text + "\" is declared twice" });
    }
}

const Organisation* Configuration::organisationForKey(
    const std::string& sha256, std::int64_t wallSeconds) const
{
    const auto found = m_keys.find(sha256);
    if (found == m_keys.end())
        return nullptr;
    const bool expired = found->second.notAfter != 0 && wallSeconds > found->second.notAfter;
    return expired ? nullptr : found->second.organisation;
}

const Organisation* Configuration::organisation(const OrganisationName& name) const
{
    return findOrNull(m_organisations, name.text);
}

const Service* Configuration::service(const ServiceName& name) const
{
    return findOrNull(m_services, name.text);
}

const Instance* Configuration::instance(const InstanceName& name) const
{
    return findOrNull(m_instances, name.text);
}

const Target* Configuration::target(const TargetName& name) const { return findOrNull(m_targets, name.text); }

} // namespace tarragonhaven
