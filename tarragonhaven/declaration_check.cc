// Names are gathered into sets, then each reference is looked up. Linear in the size of the document but for
// the logarithm of the sets. The one-instance rule of checkTransition() is what makes any majority of a
// member set meet any majority of its successor (see docs/DESIGN.md, "Ownership").

#include "tarragonhaven/declaration_check.h"

#include "tarragonhaven/member_set.h"

#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    using util::Faults;

    std::string indexed(const std::string& list, std::size_t index, const std::string& field)
    {
        return list + "[" + std::to_string(index) + "]." + field;
    }

    // Names of the items of one list. Notes a fault for each name that stands twice.
    template <typename Items>
    std::set<std::string> uniqueNames(const Items& items, const std::string& list, Faults& faults)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < items.size(); ++index) {
            const std::string& name = items[index].name.text;
            if (!name.empty() && !names.insert(name).second)
                faults.push_back({ indexed(list, index, "name"), "\"" + name + "\" is declared twice" });
        }
        return names;
    }

    void requireKnown(const std::set<std::string>& names, const std::string& name, const std::string& path,
        const std::string& what, Faults& faults)
    {
        if (!name.empty() && !names.contains(name))
            faults.push_back({ path, "names the " + what + " \"" + name + "\", which is not declared" });
    }

    std::set<std::string> checkDataCentres(const FleetIndex& index, Faults& faults)
    {
        std::set<std::string> names;
        for (const auto& dataCentre : index.dataCentres) {
            if (!names.insert(dataCentre.text).second)
                faults.push_back({ "dataCentres", "\"" + dataCentre.text + "\" is declared twice" });
        }
        if (names.empty())
            faults.push_back({ "dataCentres", "is empty" });
        return names;
    }

    void checkInstances(const FleetIndex& index, const std::set<std::string>& dataCentres, Faults& faults)
    {
        std::set<Endpoint> peerAddresses;
        for (std::size_t i = 0; i < index.instances.size(); ++i) {
            const auto& instance = index.instances[i];
            requireKnown(dataCentres, instance.dataCentre.text, indexed("instances", i, "dataCentre"),
                "data centre", faults);
            if (instance.peerAddress.port != 0 && !peerAddresses.insert(instance.peerAddress).second)
                faults.push_back({ indexed("instances", i, "peerAddress"), "is used by another instance" });
        }
    }

    void checkMember(const InstanceName& member, const OwnershipGroup& group,
        const std::map<InstanceName, DataCentreName>& places, const std::string& path,
        std::set<InstanceName>& grouped, Faults& faults)
    {
        const auto place = places.find(member);
        if (place == places.end())
            faults.push_back({ path, "names the instance \"" + member.text + "\", which is not declared" });
        else if (place->second != group.dataCentre)
            faults.push_back({ path, "\"" + member.text + "\" is in another data centre" });
        if (!grouped.insert(member).second)
            faults.push_back({ path, "\"" + member.text + "\" is a member twice" });
    }

    void checkGroups(const FleetIndex& index, const std::set<std::string>& dataCentres, Faults& faults)
    {
        std::map<InstanceName, DataCentreName> places;
        for (const auto& instance : index.instances)
            places.emplace(instance.name, instance.dataCentre);
        std::set<InstanceName> grouped;
        std::set<std::string> names;
        for (std::size_t i = 0; i < index.groups.size(); ++i) {
            const auto& group = index.groups[i];
            const auto path = indexed("ownershipGroups", i, "members");
            requireKnown(dataCentres, group.dataCentre.text, indexed("ownershipGroups", i, "dataCentre"),
                "data centre", faults);
            if (!names.insert(group.name).second)
                faults.push_back({ indexed("ownershipGroups", i, "name"), "is declared twice" });
            if (group.members.empty())
                faults.push_back({ path, "is empty" });
            if (group.members.size() > maximumMembers)
                faults.push_back(
                    { path, "holds more than " + std::to_string(maximumMembers) + " instances" });
            if (group.formerMembers.size() > formerMemberSets)
                faults.push_back({ indexed("ownershipGroups", i, "formerMembers"),
                    "holds more than " + std::to_string(formerMemberSets) + " sets" });
            for (const auto& member : group.members)
                checkMember(member, group, places, path, grouped, faults);
        }
    }

    void checkServices(const FleetIndex& index, const std::set<std::string>& instances, Faults& faults)
    {
        std::set<std::string> targets;
        for (std::size_t i = 0; i < index.services.size(); ++i) {
            const auto& service = index.services[i];
            const auto list = indexed("services", i, "targets");
            if (service.targets.empty())
                faults.push_back({ list, "is empty" });
            for (std::size_t j = 0; j < service.targets.size(); ++j) {
                const auto& target = service.targets[j];
                requireKnown(
                    instances, target.instance.text, indexed(list, j, "instance"), "instance", faults);
                if (!target.name.text.empty() && !targets.insert(target.name.text).second)
                    faults.push_back(
                        { indexed(list, j, "name"), "\"" + target.name.text + "\" is declared twice" });
            }
        }
    }

    bool isPattern(const std::string& pattern)
    {
        const auto rest = pattern.find("**");
        const bool restIsLast = rest == std::string::npos
            || (rest + 2 == pattern.size() && rest > 0 && pattern[rest - 1] == '/');
        return pattern.starts_with('/') && restIsLast && pattern.find_first_of("?# ") == std::string::npos;
    }

    bool isMethod(const std::string& method)
    {
        static const std::set<std::string> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE",
            "OPTIONS" };
        return methods.contains(method);
    }

    void checkRoutes(const FleetIndex& index, const std::set<std::string>& services, Faults& faults)
    {
        std::set<std::pair<std::string, std::string>> places;
        for (std::size_t i = 0; i < index.routes.size(); ++i) {
            const auto& route = index.routes[i];
            requireKnown(services, route.service.text, indexed("routes", i, "service"), "service", faults);
            if (!route.method.empty() && !isMethod(route.method))
                faults.push_back({ indexed("routes", i, "method"), "is not a method that can be routed" });
            if (!route.pattern.empty() && !isPattern(route.pattern))
                faults.push_back({ indexed("routes", i, "pattern"),
                    "is not a path in which * stands for a segment and a final ** for a rest" });
            if (route.idempotent && route.idempotencyKeyRule == IdempotencyKeyRule::Required)
                faults.push_back(
                    { indexed("routes", i, "identity"), "is not needed on an idempotent route" });
            if (route.openToAll && route.idempotencyKeyRule == IdempotencyKeyRule::Required)
                faults.push_back({ indexed("routes", i, "identity"),
                    "needs an organisation, and the route is open to all" });
            if (!places.emplace(route.method, route.pattern).second)
                faults.push_back({ indexed("routes", i, "pattern"), "is declared twice for this method" });
        }
    }

    std::size_t difference(const std::vector<InstanceName>& left, const std::vector<InstanceName>& right)
    {
        const std::set<InstanceName> first(left.begin(), left.end());
        const std::set<InstanceName> second(right.begin(), right.end());
        std::vector<InstanceName> changed;
        std::set_symmetric_difference(
            first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(changed));
        return changed.size();
    }

    std::vector<std::vector<InstanceName>> expectedFormer(const OwnershipGroup& before)
    {
        auto former = before.formerMembers;
        former.insert(former.begin(), before.members);
        if (former.size() > formerMemberSets)
            former.resize(formerMemberSets);
        return former;
    }

    void checkGroupTransition(
        const OwnershipGroup& before, const OwnershipGroup& after, const std::string& path, Faults& faults)
    {
        const auto changed = difference(before.members, after.members);
        if (changed > 1)
            faults.push_back({ path + ".members",
                "changes by " + std::to_string(changed) + " instances; one may change with each revision" });
        if (changed == 0 && after.formerMembers != before.formerMembers)
            faults.push_back({ path + ".formerMembers", "changes although the members do not" });
        if (changed > 0 && after.formerMembers != expectedFormer(before))
            faults.push_back({ path + ".formerMembers", "does not begin with the members that it replaces" });
    }

} // namespace

util::Faults checkIndex(const FleetIndex& index)
{
    Faults faults;
    const auto dataCentres = checkDataCentres(index, faults);
    const auto instances = uniqueNames(index.instances, "instances", faults);
    const auto services = uniqueNames(index.services, "services", faults);
    uniqueNames(index.routes, "routes", faults);
    checkInstances(index, dataCentres, faults);
    checkGroups(index, dataCentres, faults);
    checkServices(index, instances, faults);
    checkRoutes(index, services, faults);
    return faults;
}

util::Faults checkOrganisations(const std::vector<Organisation>& organisations)
{
    Faults faults;
    uniqueNames(organisations, "organisations", faults);
    std::set<std::string> digests;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        for (const auto& key : organisations[i].keys) {
            if (!key.sha256.empty() && !digests.insert(key.sha256).second)
                faults.push_back(
                    { indexed("organisations", i, "keys"), "holds a key that is declared twice" });
        }
    }
    return faults;
}

util::Faults checkTransition(const FleetIndex& before, const FleetIndex& after)
{
    Faults faults;
    for (std::size_t i = 0; i < after.groups.size(); ++i) {
        const auto& group = after.groups[i];
        const auto same = [&group](const OwnershipGroup& other) { return other.name == group.name; };
        const auto found = std::find_if(before.groups.begin(), before.groups.end(), same);
        if (found != before.groups.end())
            checkGroupTransition(*found, group, "ownershipGroups[" + std::to_string(i) + "]", faults);
    }
    return faults;
}

} // namespace tarragonhaven
