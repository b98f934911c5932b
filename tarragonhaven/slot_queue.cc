// Max-min fairness over held slots: each free slot goes to the organisation that holds the fewest. A grant
// scans the organisations with requests at this target, which are few. Assigning and releasing a slot take
// logarithmic time; removing, expiring and counting waiting tickets scan the queues.

#include "tarragonhaven/slot_queue.h"

#include "util/check.h"

#include <algorithm>

namespace tarragonhaven {

SlotQueue::SlotQueue(SlotQueueOptions options)
    : m_options(options)
{
}

SlotAcquisition SlotQueue::acquire(const SlotTicket& ticket, util::Time now)
{
    TARRAGONHAVEN_CHECK(!m_holders.contains(ticket.id), "slot ticket id must not be in use");
    if (inUse() < m_options.slots && m_waiting == 0 && now < ticket.deadline) {
        assignSlot(ticket);
        return { true, std::nullopt };
    }
    return enqueue(ticket);
}

SlotAcquisition SlotQueue::enqueue(const SlotTicket& ticket)
{
    auto& queue = m_organisations[ticket.organisation].queue;
    queue.insert(std::upper_bound(queue.begin(), queue.end(), ticket,
                     [](const SlotTicket& a, const SlotTicket& b) { return a.rank < b.rank; }),
        ticket);
    ++m_waiting;
    if (m_waiting > m_options.maximumWaiting)
        return { false, displaceNewest() };
    return { false, std::nullopt };
}

void SlotQueue::assignSlot(const SlotTicket& ticket)
{
    auto& state = m_organisations[ticket.organisation];
    ++state.slotsHeld;
    state.lastServed = ++m_grantCount;
    m_holders.emplace(ticket.id, ticket.organisation);
}

std::optional<std::uint64_t> SlotQueue::displaceNewest()
{
    const auto longest = std::max_element(m_organisations.begin(), m_organisations.end(),
        [](const auto& a, const auto& b) { return a.second.queue.size() < b.second.queue.size(); });
    const auto id = longest->second.queue.back().id;
    longest->second.queue.pop_back();
    --m_waiting;
    eraseIfIdle(longest);
    return id;
}

void SlotQueue::eraseIfIdle(OrganisationStates::iterator state)
{
    if (state->second.slotsHeld == 0 && state->second.queue.empty())
        m_organisations.erase(state);
}

bool SlotQueue::removeWaiting(std::uint64_t id)
{
    for (auto state = m_organisations.begin(); state != m_organisations.end(); ++state) {
        auto& queue = state->second.queue;
        const auto found = std::find_if(
            queue.begin(), queue.end(), [id](const SlotTicket& ticket) { return ticket.id == id; });
        if (found == queue.end())
            continue;
        queue.erase(found);
        --m_waiting;
        eraseIfIdle(state);
        return true;
    }
    return false;
}

void SlotQueue::release(std::uint64_t id)
{
    const auto holder = m_holders.find(id);
    if (holder == m_holders.end()) {
        removeWaiting(id);
        return;
    }
    const auto state = m_organisations.find(holder->second);
    TARRAGONHAVEN_CHECK(state != m_organisations.end() && state->second.slotsHeld > 0,
        "organisation of a granted ticket must hold a slot");
    --state->second.slotsHeld;
    m_holders.erase(holder);
    eraseIfIdle(state);
}

// Orders by rank, then by slots held, then by the time of the last grant, then by the age of the oldest
// request: ticket ids increase in the order of arrival.
std::tuple<int, int, std::uint64_t, std::uint64_t> SlotQueue::grantOrder(const OrganisationState& state)
{
    return { state.queue.front().rank, state.slotsHeld, state.lastServed, state.queue.front().id };
}

SlotQueue::OrganisationStates::iterator SlotQueue::nextToServe(util::Time now)
{
    auto best = m_organisations.end();
    for (auto state = m_organisations.begin(); state != m_organisations.end(); ++state) {
        const auto& candidate = state->second;
        const bool servable = !candidate.queue.empty() && now < candidate.queue.front().deadline;
        if (!servable)
            continue;
        if (best == m_organisations.end() || grantOrder(candidate) < grantOrder(best->second))
            best = state;
    }
    return best;
}

std::vector<std::uint64_t> SlotQueue::grant(util::Time now, std::size_t maximum)
{
    std::vector<std::uint64_t> granted;
    while (inUse() < m_options.slots && granted.size() < maximum) {
        const auto state = nextToServe(now);
        if (state == m_organisations.end())
            break;
        const auto ticket = state->second.queue.front();
        state->second.queue.pop_front();
        --m_waiting;
        assignSlot(ticket);
        granted.push_back(ticket.id);
    }
    return granted;
}

std::vector<std::uint64_t> SlotQueue::expire(util::Time now)
{
    std::vector<std::uint64_t> expired;
    for (auto state = m_organisations.begin(); state != m_organisations.end();) {
        auto& queue = state->second.queue;
        const auto isExpired = [now](const SlotTicket& ticket) { return now >= ticket.deadline; };
        for (const auto& ticket : queue) {
            if (isExpired(ticket))
                expired.push_back(ticket.id);
        }
        m_waiting -= std::erase_if(queue, isExpired);
        const auto current = state++;
        eraseIfIdle(current);
    }
    return expired;
}

std::size_t SlotQueue::waitingBefore(int rank) const
{
    std::size_t count = 0;
    for (const auto& [organisation, state] : m_organisations) {
        count += static_cast<std::size_t>(std::count_if(state.queue.begin(), state.queue.end(),
            [rank](const SlotTicket& ticket) { return ticket.rank <= rank; }));
    }
    return count;
}

void SlotQueue::resize(int slots) { m_options.slots = slots; }

int SlotQueue::slotsHeldBy(const OrganisationName& organisation) const
{
    const auto state = m_organisations.find(organisation);
    return state == m_organisations.end() ? 0 : state->second.slotsHeld;
}

} // namespace tarragonhaven
