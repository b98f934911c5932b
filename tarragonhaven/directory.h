#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/instance.h"
#include "tarragonhaven/target.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace tarragonhaven {

// The targets of a fleet and the instances that guard them, at one moment. Immutable and shared between
// threads.
class Directory {
public:
    using TargetsByService = std::map<ServiceName, std::vector<Target>>;

    Directory() = default;
    // `peerPort` is the port at which the node of each target's instance takes links from other nodes.
    Directory(TargetsByService targets, std::uint16_t peerPort);
    // The targets and instances that a configuration declares.
    static std::shared_ptr<const Directory> fromConfiguration(const Configuration& configuration);

    // The targets of a service; none for an unknown one.
    [[nodiscard]] const std::vector<Target>& targetsOf(const ServiceName& service) const;
    [[nodiscard]] const Instance* instance(const InstanceName& name) const;
    [[nodiscard]] const TargetsByService& targets() const { return m_targets; }
    [[nodiscard]] const std::map<InstanceName, Instance>& instances() const { return m_instances; }

private:
    TargetsByService m_targets;
    std::map<InstanceName, Instance> m_instances;
};

using DirectoryPointer = std::shared_ptr<const Directory>;

} // namespace tarragonhaven
