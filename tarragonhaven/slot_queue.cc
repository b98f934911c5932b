// Max-min fairness over slots held: each free slot goes to the organisation with the least. A grant scans the
// organisations that have requests here, which are few at one target; the rest is logarithmic.

#include "tarragonhaven/slot_queue.h"

#include "util/check.h"

#include <algorithm>

namespace tarragonhaven {

SlotQueue::SlotQueue(SlotQueueOptions options)
    : m_options(options)
{
}

SlotEntry SlotQueue::enter(const SlotTicket& ticket, util::Time now)
{
    TARRAGONHAVEN_CHECK(!m_holders.contains(ticket.id), "a slot ticket is entered once");
    if (inUse() < m_options.slots && m_waiting == 0 && now < ticket.deadline) {
        take(ticket);
        return { true, std::nullopt };
    }
    auto& queue = m_shares[ticket.organisation].queue;
    queue.insert(std::upper_bound(queue.begin(), queue.end(), ticket,
                     [](const SlotTicket& a, const SlotTicket& b) { return a.rank < b.rank; }),
        ticket);
    ++m_waiting;
    if (m_waiting > m_options.maximumWaiting)
        return { false, displaceOne() };
    return { false, std::nullopt };
}

void SlotQueue::take(const SlotTicket& ticket)
{
    auto& share = m_shares[ticket.organisation];
    ++share.held;
    share.lastServed = ++m_served;
    m_holders.emplace(ticket.id, ticket.organisation);
}

std::optional<std::uint64_t> SlotQueue::displaceOne()
{
    const auto longest = std::max_element(m_shares.begin(), m_shares.end(),
        [](const auto& a, const auto& b) { return a.second.queue.size() < b.second.queue.size(); });
    const auto id = longest->second.queue.back().id;
    longest->second.queue.pop_back();
    --m_waiting;
    forgetIfIdle(longest);
    return id;
}

void SlotQueue::forgetIfIdle(Shares::iterator share)
{
    if (share->second.held == 0 && share->second.queue.empty())
        m_shares.erase(share);
}

bool SlotQueue::removeWaiting(std::uint64_t id)
{
    for (auto share = m_shares.begin(); share != m_shares.end(); ++share) {
        auto& queue = share->second.queue;
        const auto found = std::find_if(
            queue.begin(), queue.end(), [id](const SlotTicket& ticket) { return ticket.id == id; });
        if (found == queue.end())
            continue;
        queue.erase(found);
        --m_waiting;
        forgetIfIdle(share);
        return true;
    }
    return false;
}

void SlotQueue::leave(std::uint64_t id)
{
    const auto holder = m_holders.find(id);
    if (holder == m_holders.end()) {
        removeWaiting(id);
        return;
    }
    const auto share = m_shares.find(holder->second);
    TARRAGONHAVEN_CHECK(
        share != m_shares.end() && share->second.held > 0, "a holder's organisation is counted");
    --share->second.held;
    m_holders.erase(holder);
    forgetIfIdle(share);
}

// The lowest rank first, then the fewest slots, then the longest unserved, then the oldest request: tickets
// are numbered as they come.
std::tuple<int, int, std::uint64_t, std::uint64_t> SlotQueue::orderOf(const Share& share)
{
    return { share.queue.front().rank, share.held, share.lastServed, share.queue.front().id };
}

SlotQueue::Shares::iterator SlotQueue::nextShare(util::Time now)
{
    auto best = m_shares.end();
    for (auto share = m_shares.begin(); share != m_shares.end(); ++share) {
        const auto& candidate = share->second;
        const bool servable = !candidate.queue.empty() && now < candidate.queue.front().deadline;
        if (!servable)
            continue;
        if (best == m_shares.end() || orderOf(candidate) < orderOf(best->second))
            best = share;
    }
    return best;
}

std::vector<std::uint64_t> SlotQueue::grant(util::Time now)
{
    std::vector<std::uint64_t> granted;
    while (inUse() < m_options.slots) {
        const auto share = nextShare(now);
        if (share == m_shares.end())
            break;
        const auto ticket = share->second.queue.front();
        share->second.queue.pop_front();
        --m_waiting;
        take(ticket);
        granted.push_back(ticket.id);
    }
    return granted;
}

std::vector<std::uint64_t> SlotQueue::expire(util::Time now)
{
    std::vector<std::uint64_t> expired;
    for (auto share = m_shares.begin(); share != m_shares.end();) {
        auto& queue = share->second.queue;
        const auto isLate = [now](const SlotTicket& ticket) { return now >= ticket.deadline; };
        for (const auto& ticket : queue) {
            if (isLate(ticket))
                expired.push_back(ticket.id);
        }
        m_waiting -= std::erase_if(queue, isLate);
        const auto current = share++;
        forgetIfIdle(current);
    }
    return expired;
}

std::size_t SlotQueue::waitingBefore(int rank) const
{
    std::size_t count = 0;
    for (const auto& [organisation, share] : m_shares) {
        count += static_cast<std::size_t>(std::count_if(share.queue.begin(), share.queue.end(),
            [rank](const SlotTicket& ticket) { return ticket.rank <= rank; }));
    }
    return count;
}

void SlotQueue::resize(int slots) { m_options.slots = slots; }

int SlotQueue::heldBy(const OrganisationName& organisation) const
{
    const auto share = m_shares.find(organisation);
    return share == m_shares.end() ? 0 : share->second.held;
}

} // namespace tarragonhaven
