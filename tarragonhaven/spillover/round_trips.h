#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <map>

namespace tarragonhaven {

// Round trips to the guards of each data centre, measured as the time until a guard admits or refuses a
// request. This may include a wait for a slot or a new connection, so the least value of the last 30 to 60 s
// counts.
class RoundTrips {
public:
    void record(const DataCentreName& dataCentre, util::Duration elapsed, util::Time now);
    // Returns the round trip in seconds, or 5 ms if none was measured.
    [[nodiscard]] double secondsTo(const DataCentreName& dataCentre) const;

private:
    struct Least {
        util::Time windowStart {};
        util::Duration current = util::Duration::max();
        util::Duration previous = util::Duration::max();
    };

    std::map<DataCentreName, Least> m_least;
};

} // namespace tarragonhaven
