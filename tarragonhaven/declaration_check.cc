// Collects the declared names in sets and looks up each reference in them. Takes O(n log n) time for a
// document with n entries.
//
// checkTransition() allows one changed instance at a time because any majority of a member set then has a
// member in common with any majority of the next set (see docs/DESIGN.md, "Ownership").

#include "tarragonhaven/declaration_check.h"

#include "tarragonhaven/member_set.h"

#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    using util::Faults;

    std::string fieldPath(const std::string& list, std::size_t index, const std::string& field)
    {
        return list + "[" + std::to_string(index) + "]." + field;
    }

    // Returns the names of the items of one list. Adds a fault for each name that occurs more than once.
    template <typename Items>
    std::set<std::string> collectUniqueNames(const Items& items, const std::string& list, Faults& faults)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < items.size(); ++index) {
            const std::string& name = items[index].name.text;
            if (!name.empty() && !names.insert(name).second)
                faults.push_back({ fieldPath(list, index, "name"), "\"" + name + "\" is declared twice" });
        }
        return names;
    }

    void requireDeclared(const std::set<std::string>& names, const std::string& name, const std::string& path,
        const std::string& kind, Faults& faults)
    {
        if (!name.empty() && !names.contains(name))
            faults.push_back({ path, "refers to the " + kind + " \"" + name + "\", which is not declared" });
    }

    std::set<std::string> checkDataCentres(const FleetIndex& index, Faults& faults)
    {
        std::set<std::string> names;
        for (const auto& dataCentre : index.dataCentres) {
            if (!names.insert(dataCentre.text).second)
                faults.push_back({ "dataCentres", "\"" + dataCentre.text + "\" is declared twice" });
        }
        if (names.empty())
            faults.push_back({ "dataCentres", "must not be empty" });
        return names;
    }

    void checkInstances(const FleetIndex& index, const std::set<std::string>& dataCentres, Faults& faults)
    {
        std::set<Endpoint> peerAddresses;
        for (std::size_t i = 0; i < index.instances.size(); ++i) {
            const auto& instance = index.instances[i];
            requireDeclared(dataCentres, instance.dataCentre.text, fieldPath("instances", i, "dataCentre"),
                "data centre", faults);
            if (instance.peerAddress.port != 0 && !peerAddresses.insert(instance.peerAddress).second)
                faults.push_back({ fieldPath("instances", i, "peerAddress"),
                    "is also the peer address of another instance" });
        }
    }

    void checkMember(const InstanceName& member, const OwnershipGroup& group,
        const std::map<InstanceName, DataCentreName>& dataCentreOf, const std::string& path,
        std::set<InstanceName>& groupedInstances, Faults& faults)
    {
        const auto found = dataCentreOf.find(member);
        if (found == dataCentreOf.end())
            faults.push_back(
                { path, "refers to the instance \"" + member.text + "\", which is not declared" });
        else if (found->second != group.dataCentre)
            faults.push_back({ path, "\"" + member.text + "\" is in another data centre" });
        if (!groupedInstances.insert(member).second)
            faults.push_back(
                { path, "\"" + member.text + "\" is already a member of this or another ownership group" });
    }

    void checkGroups(const FleetIndex& index, const std::set<std::string>& dataCentres, Faults& faults)
    {
        std::map<InstanceName, DataCentreName> dataCentreOf;
        for (const auto& instance : index.instances)
            dataCentreOf.emplace(instance.name, instance.dataCentre);
        std::set<InstanceName> groupedInstances;
        std::set<std::string> names;
        for (std::size_t i = 0; i < index.groups.size(); ++i) {
            const auto& group = index.groups[i];
            const auto path = fieldPath("ownershipGroups", i, "members");
            requireDeclared(dataCentres, group.dataCentre.text, fieldPath("ownershipGroups", i, "dataCentre"),
                "data centre", faults);
            if (!names.insert(group.name).second)
                faults.push_back({ fieldPath("ownershipGroups", i, "name"), "is declared twice" });
            if (group.members.empty())
                faults.push_back({ path, "must not be empty" });
            if (group.members.size() > maximumMembers)
                faults.push_back({ path, "has more than " + std::to_string(maximumMembers) + " instances" });
            if (group.formerMembers.size() > maximumFormerMemberSets)
                faults.push_back({ fieldPath("ownershipGroups", i, "formerMembers"),
                    "has more than " + std::to_string(maximumFormerMemberSets) + " sets" });
            for (const auto& member : group.members)
                checkMember(member, group, dataCentreOf, path, groupedInstances, faults);
        }
    }

    void checkServices(const FleetIndex& index, const std::set<std::string>& instances, Faults& faults)
    {
        std::set<std::string> targets;
        for (std::size_t i = 0; i < index.services.size(); ++i) {
            const auto& service = index.services[i];
            const auto list = fieldPath("services", i, "targets");
            if (service.targets.empty())
                faults.push_back({ list, "must not be empty" });
            for (std::size_t j = 0; j < service.targets.size(); ++j) {
                const auto& target = service.targets[j];
                requireDeclared(
                    instances, target.instance.text, fieldPath(list, j, "instance"), "instance", faults);
                if (!target.name.text.empty() && !targets.insert(target.name.text).second)
                    faults.push_back(
                        { fieldPath(list, j, "name"), "\"" + target.name.text + "\" is declared twice" });
            }
        }
    }

    bool isPathPattern(const std::string& pattern)
    {
        const auto wildcard = pattern.find("**");
        const bool wildcardIsValid = wildcard == std::string::npos
            || (wildcard + 2 == pattern.size() && wildcard > 0 && pattern[wildcard - 1] == '/');
        return pattern.starts_with('/') && wildcardIsValid
            && pattern.find_first_of("?# ") == std::string::npos;
    }

    bool isRoutableMethod(const std::string& method)
    {
        static const std::set<std::string> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE",
            "OPTIONS" };
        return methods.contains(method);
    }

    void checkRoutes(const FleetIndex& index, const std::set<std::string>& services, Faults& faults)
    {
        std::set<std::pair<std::string, std::string>> methodsAndPatterns;
        for (std::size_t i = 0; i < index.routes.size(); ++i) {
            const auto& route = index.routes[i];
            requireDeclared(
                services, route.service.text, fieldPath("routes", i, "service"), "service", faults);
            if (!route.method.empty() && !isRoutableMethod(route.method))
                faults.push_back({ fieldPath("routes", i, "method"),
                    "is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS" });
            if (!route.pattern.empty() && !isPathPattern(route.pattern))
                faults.push_back({ fieldPath("routes", i, "pattern"),
                    "must begin with /, contain no ?, # or space, and have ** only as the last segment" });
            if (route.idempotent && route.idempotencyKeyRule == IdempotencyKeyRule::Required)
                faults.push_back(
                    { fieldPath("routes", i, "identity"), "must not be required on an idempotent route" });
            if (route.openToAll && route.idempotencyKeyRule == IdempotencyKeyRule::Required)
                faults.push_back({ fieldPath("routes", i, "identity"),
                    "must not be required on a route that is open to all: idempotency keys need an "
                    "organisation" });
            if (!methodsAndPatterns.emplace(route.method, route.pattern).second)
                faults.push_back({ fieldPath("routes", i, "pattern"),
                    "is declared by another route with the same method" });
        }
    }

    std::size_t countChangedMembers(
        const std::vector<InstanceName>& left, const std::vector<InstanceName>& right)
    {
        const std::set<InstanceName> first(left.begin(), left.end());
        const std::set<InstanceName> second(right.begin(), right.end());
        std::vector<InstanceName> changed;
        std::set_symmetric_difference(
            first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(changed));
        return changed.size();
    }

    // Returns the former member sets that a group must list once its members differ from those of `before`.
    std::vector<std::vector<InstanceName>> expectedFormerMembers(const OwnershipGroup& before)
    {
        auto former = before.formerMembers;
        former.insert(former.begin(), before.members);
        if (former.size() > maximumFormerMemberSets)
            former.resize(maximumFormerMemberSets);
        return former;
    }

    void checkGroupTransition(
        const OwnershipGroup& before, const OwnershipGroup& after, const std::string& path, Faults& faults)
    {
        const auto changed = countChangedMembers(before.members, after.members);
        if (changed > 1)
            faults.push_back({ path + ".members",
                "changes by " + std::to_string(changed)
                    + " instances; at most one may change per revision" });
        if (changed == 0 && after.formerMembers != before.formerMembers)
            faults.push_back({ path + ".formerMembers", "must not change while the members stay the same" });
        if (changed > 0 && after.formerMembers != expectedFormerMembers(before))
            faults.push_back({ path + ".formerMembers",
                "must list the previous members first, followed by the previous former sets" });
    }

} // namespace

util::Faults checkIndex(const FleetIndex& index)
{
    Faults faults;
    const auto dataCentres = checkDataCentres(index, faults);
    const auto instances = collectUniqueNames(index.instances, "instances", faults);
    const auto services = collectUniqueNames(index.services, "services", faults);
    collectUniqueNames(index.routes, "routes", faults);
    checkInstances(index, dataCentres, faults);
    checkGroups(index, dataCentres, faults);
    checkServices(index, instances, faults);
    checkRoutes(index, services, faults);
    return faults;
}

util::Faults checkOrganisations(const std::vector<Organisation>& organisations)
{
    Faults faults;
    collectUniqueNames(organisations, "organisations", faults);
    std::set<std::string> digests;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        for (const auto& key : organisations[i].keys) {
            if (!key.sha256.empty() && !digests.insert(key.sha256).second)
                faults.push_back({ fieldPath("organisations", i, "keys"),
                    "contains a key digest that is declared twice" });
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
