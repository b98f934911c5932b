#pragma once

#include "tarragonhaven/declaration.h"
#include "tarragonhaven/fleet_index.h"
#include "tarragonhaven/organisation.h"
#include "tarragonhaven/prefix_routes.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/route_table.h"
#include "util/error.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tarragonhaven {

// An accepted configuration with lookup tables for its routes, keys, organisations, services, instances and
// targets. It is immutable, so that threads share it without locks. Revisions share the shards that did not
// change between them. The functions that build a configuration return the faults of an invalid one.
class Configuration {
public:
    using Organisations = std::shared_ptr<const std::vector<Organisation>>;
    using Text = std::shared_ptr<const std::string>;

    // A published shard: its text, which is served to peers, and the organisations that it declares.
    struct Shard {
        Text text;
        Organisations organisations;
    };

    // Parses a published index and combines it with its shards, which `shards` maps by name. Returns faults
    // if the index is invalid, a shard is missing, or a key or an organisation is declared twice.
    static util::Checked<std::shared_ptr<const Configuration>> assemble(
        Revision revision, Text indexText, std::map<std::string, Shard> shards);
    // Builds a configuration from a declaration that the caller has parsed from `text`. The hosts and
    // prefixes of the routes are used as declared, and no shards need to be fetched. Returns faults if a key
    // or an organisation is declared twice.
    static util::Checked<std::shared_ptr<const Configuration>> fromDeclaration(
        Revision revision, Text text, Declaration declaration);
    // Parses the text of one shard. Returns faults if the text is invalid.
    static util::Checked<Shard> parseShard(Text text);

    [[nodiscard]] Revision revision() const { return m_revision; }
    [[nodiscard]] const FleetIndex& index() const { return m_index; }
    [[nodiscard]] const RouteTable& routes() const { return m_routes; }
    [[nodiscard]] const PrefixRoutes& prefixRoutes() const { return m_prefixRoutes; }
    [[nodiscard]] const std::map<std::string, Shard>& shards() const { return m_shards; }
    // Returns the published text of the index or of a shard, or null if there is no value of this name.
    [[nodiscard]] Text text(const std::string& valueName) const;

    // Returns the organisation of the key with this SHA-256 digest, or null if the key is unknown or has
    // expired at `wallSeconds` (Unix time).
    [[nodiscard]] const Organisation* organisationForKey(
        const std::string& sha256, std::int64_t wallSeconds) const;
    [[nodiscard]] const Organisation* organisation(const OrganisationName& name) const;
    [[nodiscard]] const Service* service(const ServiceName& name) const;
    [[nodiscard]] const Instance* instance(const InstanceName& name) const;
    [[nodiscard]] const Target* target(const TargetName& name) const;
    [[nodiscard]] std::size_t organisationCount() const { return m_organisations.size(); }

private:
    struct KeyEntry {
        const Organisation* organisation = nullptr;
        std::int64_t notAfter = 0;
    };

    Configuration(Revision revision, Text indexText, FleetIndex index, std::map<std::string, Shard> shards);
    util::Faults buildTables();
    void addOrganisation(const Organisation& organisation, util::Faults& faults);

    Revision m_revision;
    Text m_indexText;
    FleetIndex m_index;
    std::map<std::string, Shard> m_shards;
    RouteTable m_routes;
    PrefixRoutes m_prefixRoutes;
    absl::flat_hash_map<std::string_view, KeyEntry> m_keys;
    absl::flat_hash_map<std::string_view, const Organisation*> m_organisations;
    std::map<std::string_view, const Service*> m_services;
    std::map<std::string_view, const Instance*> m_instances;
    std::map<std::string_view, const Target*> m_targets;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace tarragonhaven
