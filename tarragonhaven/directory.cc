#include "tarragonhaven/directory.h"

namespace tarragonhaven {

Directory::Directory(
    TargetsByService targets, std::uint16_t peerPort, StorePosition asOf, std::set<DataCentreName> evacuated)
    : m_targets(std::move(targets))
    , m_evacuated(std::move(evacuated))
    , m_asOf(asOf)
{
    for (auto& [service, list] : m_targets) {
        for (auto& target : list) {
            target.evacuated = m_evacuated.contains(target.dataCentre);
            Instance instance;
            instance.name = target.instance;
            instance.dataCentre = target.dataCentre;
            instance.peerAddress = { target.address.address, peerPort };
            m_instances.emplace(target.instance, instance);
        }
    }
}

DirectoryPointer Directory::fromConfiguration(const Configuration& configuration)
{
    auto directory = std::make_shared<Directory>();
    for (const auto& instance : configuration.index().instances)
        directory->m_instances.emplace(instance.name, instance);
    for (const auto& service : configuration.index().services) {
        auto& list = directory->m_targets[service.name];
        for (auto target : service.targets) {
            const auto* instance = configuration.instance(target.instance);
            target.dataCentre = instance ? instance->dataCentre : DataCentreName {};
            list.push_back(std::move(target));
        }
    }
    return directory;
}

const std::vector<Target>& Directory::targetsOf(const ServiceName& service) const
{
    static const std::vector<Target> noTargets;
    const auto found = m_targets.find(service);
    return found == m_targets.end() ? noTargets : found->second;
}

const Instance* Directory::instance(const InstanceName& name) const
{
    const auto found = m_instances.find(name);
    return found == m_instances.end() ? nullptr : &found->second;
}

} // namespace tarragonhaven
