#pragma once

#include "tarragonhaven/configuration.h"

#include <string>

namespace tarragonhaven {

// The result of offering a configuration to a ConfigurationHolder.
enum class OfferResult {
    Accepted,
    // This revision, or a newer one, is already in force.
    NotNewer,
    // The document has faults; the configuration in force is kept.
    Refused,
};

// Holds the configuration in force, which is the newest accepted one, and the number of the newest refused
// revision. The revision in force never decreases, whichever configurations are offered; a check asserts
// this.
class ConfigurationHolder {
public:
    // Puts `configuration`, which was parsed without faults, into force if it is newer than the current one.
    OfferResult offer(ConfigurationPointer configuration);
    // Records that `revision` was refused because of its faults, so that it is not fetched again.
    void recordRefused(Revision revision);

    // Returns whether `revision` is newer than the revision in force and than every refused revision.
    [[nodiscard]] bool shouldFetch(Revision revision) const;
    // Returns the configuration in force, or null if there is none.
    [[nodiscard]] const ConfigurationPointer& current() const { return m_current; }
    // Returns the revision in force, or 0 if there is none.
    [[nodiscard]] Revision revision() const;

private:
    ConfigurationPointer m_current;
    Revision m_newestRefused = 0;
};

} // namespace tarragonhaven
