#include "tarragonhaven/questionnaire.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <map>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumMembersPerGroup = 15;

    // Expands the address pattern for instance `number` of a data centre. `sequence` is the index of the
    // instance in the fleet; it is added to the port if instances share an address.
    Endpoint makeEndpoint(const AddressAnswer& addresses, int port, std::size_t dataCentre,
        std::size_t number, std::size_t sequence)
    {
        const bool sharedAddress = addresses.pattern.find("{n}") == std::string::npos;
        const auto address = absl::StrReplaceAll(
            addresses.pattern, { { "{d}", std::to_string(dataCentre) }, { "{n}", std::to_string(number) } });
        return { address,
            static_cast<std::uint16_t>(port + (sharedAddress ? static_cast<int>(sequence) : 0)) };
    }

    Route toRoute(const ServiceAnswer& service, const RequestAnswer& request)
    {
        Route route;
        route.name = { request.name };
        route.method = request.method;
        route.pattern = request.path;
        route.service = { service.name };
        route.openToAll = request.openToAll;
        route.idempotent = request.idempotent;
        route.idempotencyKeyRule
            = request.harmfulIfRepeated ? IdempotencyKeyRule::Required : IdempotencyKeyRule::None;
        route.deadline = std::chrono::milliseconds(request.deadlineMs);
        return route;
    }

    void addGroups(FleetIndex& index)
    {
        for (const auto& dataCentre : index.dataCentres) {
            OwnershipGroup group;
            int number = 0;
            for (const auto& instance : index.instances) {
                if (instance.dataCentre != dataCentre)
                    continue;
                if (group.members.empty())
                    group = { absl::StrCat(dataCentre.text, "-", ++number), dataCentre, {}, {} };
                group.members.push_back(instance.name);
                if (group.members.size() == maximumMembersPerGroup)
                    index.groups.push_back(std::exchange(group, {}));
            }
            if (!group.members.empty())
                index.groups.push_back(group);
        }
    }

} // namespace

Declaration generateDeclaration(const QuestionnaireAnswers& answers)
{
    Declaration declaration;
    auto& index = declaration.index;
    index.fleet = answers.fleet;
    for (const auto& name : answers.dataCentres)
        index.dataCentres.push_back({ name });
    std::map<std::size_t, std::size_t> instanceCounts;
    std::size_t sequence = 0;
    for (const auto& answer : answers.services) {
        Service service { { answer.name }, answer.floorPercent, answer.sensitivity, {} };
        for (int i = 0; i < answer.targets; ++i, ++sequence) {
            const auto dataCentreIndex = sequence % answers.dataCentres.size();
            const auto number = ++instanceCounts[dataCentreIndex];
            const auto& dataCentre = index.dataCentres[dataCentreIndex];
            const InstanceName name { absl::StrCat(dataCentre.text, "-", number) };
            const auto endpoint = [&](int port) {
                return makeEndpoint(answers.addresses, port, dataCentreIndex + 1, number, sequence);
            };
            index.instances.push_back({ name, dataCentre, endpoint(answers.addresses.callerPort),
                endpoint(answers.addresses.peerPort) });
            service.targets.push_back({ { absl::StrCat(answer.name, "-", i + 1) }, name,
                endpoint(answers.addresses.targetPort), answer.slots });
        }
        index.services.push_back(service);
        for (const auto& request : answer.requests)
            index.routes.push_back(toRoute(answer, request));
    }
    addGroups(index);
    declaration.organisations = answers.organisations;
    return declaration;
}

} // namespace tarragonhaven
