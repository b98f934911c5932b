#pragma once

#include "util/time.h"

#include <memory>

namespace tarragonhaven::testing {

// A clock that is set by a test. Copies share their time, so that a control core keeps its clock when the
// node object that contains both is moved in memory.
class SharedManualClock {
public:
    [[nodiscard]] util::Time now() const noexcept { return *m_now; }
    void moveTo(util::Time now) const { *m_now = now; }

private:
    std::shared_ptr<util::Time> m_now = std::make_shared<util::Time>(std::chrono::hours(1));
};

} // namespace tarragonhaven::testing
