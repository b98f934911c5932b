#include "tarragonhaven/guard.h"

#include <utility>

namespace tarragonhaven {

Guard::Guard(boost::asio::io_context& io, InstanceName self, std::uint64_t incarnation)
    : m_io(io)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void Guard::apply(const Configuration& configuration)
{
    auto before = std::exchange(m_targets, {});
    for (const auto& service : configuration.index().services) {
        for (const auto& target : service.targets) {
            if (target.instance != m_self)
                continue;
            auto& kept = before[target.name];
            if (kept)
                kept->update(target);
            else
                kept = std::make_shared<GuardedTarget>(m_io, target, m_incarnation);
            m_targets.emplace(target.name, kept);
            before.erase(target.name);
        }
    }
    for (const auto& [name, removed] : before)
        removed->drain();
    if (m_draining)
        drain();
}

std::shared_ptr<GuardedTarget> Guard::find(const TargetName& name) const
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : found->second;
}

std::vector<Guard::Telling> Guard::tick()
{
    std::vector<Telling> tellings;
    for (const auto& [name, target] : m_targets) {
        target->tick();
        auto entries = target->entriesToTell();
        if (!entries.empty())
            tellings.push_back({ name, target->report(), std::move(entries) });
    }
    return tellings;
}

void Guard::drain()
{
    m_draining = true;
    for (const auto& [name, target] : m_targets)
        target->drain();
}

} // namespace tarragonhaven
