#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/instance.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/target.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace tarragonhaven {

// A snapshot of the targets of a fleet and of the instances whose nodes guard them. It is immutable, so that
// threads share it without locks.
class Directory {
public:
    using TargetsByService = std::map<ServiceName, std::vector<Target>>;

    Directory() = default;
    // Derives the instances from `targets`. `peerPort` is the port at which the node of each instance accepts
    // links from other nodes, and `asOf` the position in the source up to which the targets are complete.
    // Marks the targets of the `evacuated` data centres.
    Directory(TargetsByService targets, std::uint16_t peerPort, StorePosition asOf = {},
        std::set<DataCentreName> evacuated = {});
    // Returns the targets and instances that a configuration declares.
    static std::shared_ptr<const Directory> fromConfiguration(const Configuration& configuration);

    // Returns the targets of a service; an empty list if the service is unknown.
    [[nodiscard]] const std::vector<Target>& targetsOf(const ServiceName& service) const;
    // Returns the instance, or null if there is none of this name.
    [[nodiscard]] const Instance* instance(const InstanceName& name) const;
    [[nodiscard]] const TargetsByService& targets() const { return m_targets; }
    [[nodiscard]] const std::map<InstanceName, Instance>& instances() const { return m_instances; }
    // Returns the data centres whose targets get no new requests.
    [[nodiscard]] const std::set<DataCentreName>& evacuated() const { return m_evacuated; }
    // Returns the position in the source up to which the directory is complete.
    [[nodiscard]] const StorePosition& asOf() const { return m_asOf; }

private:
    TargetsByService m_targets;
    std::map<InstanceName, Instance> m_instances;
    std::set<DataCentreName> m_evacuated;
    StorePosition m_asOf;
};

using DirectoryPointer = std::shared_ptr<const Directory>;

} // namespace tarragonhaven
