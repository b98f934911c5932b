// The part of the entry that places requests in data centres.

#include "tarragonhaven/entry.h"
#include "tarragonhaven/spillover/spill_log.h"

namespace tarragonhaven {

SpillPlacement Entry::place(const AcceptedRequest& request)
{
    return m_spillOver.place(
        request.context, request.route.name, request.head, m_random, util::BootClock::now());
}

void Entry::updateSpillOver(util::Time now)
{
    std::set<TargetName> unreachable;
    for (const auto& [target, until] : m_avoided) {
        if (now < until)
            unreachable.insert(target);
    }
    const auto views = [this, now](const ServiceName& service) {
        const auto* health = this->health(service);
        return health ? viewsOf(*health, now) : std::vector<TargetView> {};
    };
    for (const auto& change : m_spillOver.update(views, unreachable, now))
        m_dependencies.log.write(LogLevel::Warning, "spill", logFieldsOf(change));
}

} // namespace tarragonhaven
