#pragma once

#include "util/time.h"

#include <memory>

namespace tarragonhaven::testing {

// A clock that a test moves, shared by copies of this view, so that a core keeps its clock when a node is
// moved.
class SharedManualClock {
public:
    [[nodiscard]] util::Time now() const noexcept { return *m_now; }
    void moveTo(util::Time now) const { *m_now = now; }

private:
    std::shared_ptr<util::Time> m_now = std::make_shared<util::Time>(std::chrono::hours(1));
};

} // namespace tarragonhaven::testing
