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

// One accepted configuration, ready for lookups. It is immutable and shared between threads; shards that did
// not change are shared between revisions.
class Configuration {
public:
    using Organisations = std::shared_ptr<const std::vector<Organisation>>;
    using Text = std::shared_ptr<const std::string>;

    // A published shard: its text, to hand to peers, and what it declares.
    struct Shard {
        Text text;
        Organisations organisations;
    };

    // Parses a published index and assembles it with its shards, given by name. Returns faults when a
    // document is not sound, a shard is missing, or a key or an organisation stands in two shards.
    static util::Checked<std::shared_ptr<const Configuration>> assemble(
        Revision revision, Text indexText, std::map<std::string, Shard> shards);
    // Takes declarations that were parsed elsewhere from `text`. The routes' hosts and prefixes are as
    // declared; there are no shards to fetch.
    static util::Checked<std::shared_ptr<const Configuration>> fromDeclaration(
        Revision revision, Text text, Declaration declaration);
    // Parses one shard.
    static util::Checked<Shard> parseShard(Text text);

    [[nodiscard]] Revision revision() const { return m_revision; }
    [[nodiscard]] const FleetIndex& index() const { return m_index; }
    [[nodiscard]] const RouteTable& routes() const { return m_routes; }
    [[nodiscard]] const PrefixRoutes& prefixRoutes() const { return m_prefixRoutes; }
    [[nodiscard]] const std::map<std::string, Shard>& shards() const { return m_shards; }
    // The published text of the index or of a shard, or null.
    [[nodiscard]] Text text(const std::string& valueName) const;

    // The organisation of the key with this digest, or null when the key is unknown or past its end.
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
