#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/quota_use.h"
#include "util/time.h"

#include <map>
#include <string>

namespace tarragonhaven {

// Adds up what nodes report under names. The node that a hash finds for a name does this; it decides nothing,
// and keeps nothing that the next reports would not bring again. The use that a node reported fades over a
// window after its last report, as it does at the node itself.
class QuotaTotals {
public:
    explicit QuotaTotals(util::Duration window)
        : m_window(window)
    {
    }

    // Takes in a node's use and returns that of all others.
    QuotaElsewhere note(const InstanceName& node, const QuotaUse& use, util::Time now);
    // Drops names that nobody has reported for a window.
    void forget(util::Time now);

    [[nodiscard]] std::size_t size() const { return m_names.size(); }

private:
    struct Reported {
        QuotaUse use;
        util::Time at {};
    };

    util::Duration m_window;
    std::map<std::string, std::map<InstanceName, Reported>> m_names;
};

} // namespace tarragonhaven
