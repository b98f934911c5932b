#pragma once

#include "tarragonhaven/configuration.h"

#include <string>

namespace tarragonhaven {

// What became of a published index that a node learned of.
enum class OfferResult {
    Accepted,
    // The node holds this revision or a newer one.
    NotNewer,
    // The document has faults; the node goes on with what it holds.
    Refused,
};

// Holds the newest accepted configuration and the newest refused revision. The revision in force never falls,
// whatever is offered: that is asserted.
class ConfigurationHolder {
public:
    // Offers a configuration that parsed without faults.
    OfferResult offer(ConfigurationPointer configuration);
    // Notes that `revision` was refused for its faults, so that it is not fetched again.
    void recordRefused(Revision revision);

    // Whether a document of this revision is worth fetching.
    [[nodiscard]] bool shouldFetch(Revision revision) const;
    // The configuration in force, or null.
    [[nodiscard]] const ConfigurationPointer& current() const { return m_current; }
    // The revision in force, or 0.
    [[nodiscard]] Revision revision() const;

private:
    ConfigurationPointer m_current;
    Revision m_newestRefused = 0;
};

} // namespace tarragonhaven
