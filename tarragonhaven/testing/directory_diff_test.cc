#include "tarragonhaven/directory_diff.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

Target makeTarget(const std::string& name, std::int64_t startTimeMs, bool leaving = false)
{
    Target target { { name }, { "i-" + name }, { "127.0.0.1", 1 }, 1 };
    target.startTimeMs = startTimeMs;
    target.leaving = leaving;
    return target;
}

Directory directoryWith(std::vector<Target> targets)
{
    Directory::TargetsByService services;
    services[{ "status" }] = std::move(targets);
    return Directory(std::move(services), 7000);
}

} // namespace

TEST_CASE("targets that cease to serve or serve again are found, others are not")
{
    const auto ready = makeTarget("a", 100);
    const auto leaving = makeTarget("a", 100, true);
    const auto restarted = makeTarget("a", 200);
    const auto other = makeTarget("b", 100);
    // All targets are at one address. The guard is found also if only one of the directories lists its
    // instance.
    const Endpoint guard { "127.0.0.1", 7000 };
    struct Row {
        std::vector<Target> before;
        std::vector<Target> after;
        std::vector<TargetStateChange> changes;
    };
    const std::vector<Row> rows {
        { { ready, other }, { ready, other }, {} },
        { { ready, other }, { leaving, other }, { { leaving, false, guard } } },
        { { ready, other }, { other }, { { ready, false, guard } } },
        { { leaving }, { ready }, { { ready, true, guard } } },
        { { leaving }, {}, {} },
        { {}, { ready }, { { ready, true, guard } } },
        { {}, { leaving }, {} },
        { { ready }, { restarted }, { { ready, false, guard }, { restarted, true, guard } } },
    };
    for (std::size_t i = 0; i < rows.size(); ++i) {
        CAPTURE(i);
        CHECK(changedTargetStates(directoryWith(rows[i].before), directoryWith(rows[i].after))
            == rows[i].changes);
    }
}
