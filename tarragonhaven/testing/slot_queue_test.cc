// Tests the sharing of a target's slots against a simple reference implementation and with single cases.

#include "tarragonhaven/slot_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace tarragonhaven::testing {

namespace {

    // The policy of SlotQueue for tickets of equal rank in an unbounded queue, implemented as a scan over all
    // tickets.
    class ReferenceQueue {
    public:
        explicit ReferenceQueue(int slots)
            : m_slots(slots)
        {
        }

        void acquire(const SlotTicket& ticket) { m_waiting.push_back(ticket); }
        void release(std::uint64_t id)
        {
            std::erase_if(m_holders, [id](const SlotTicket& ticket) { return ticket.id == id; });
            std::erase_if(m_waiting, [id](const SlotTicket& ticket) { return ticket.id == id; });
        }
        std::vector<std::uint64_t> grant(util::Time now)
        {
            std::vector<std::uint64_t> granted;
            while (static_cast<int>(m_holders.size()) < m_slots) {
                auto best = m_waiting.end();
                for (auto item = m_waiting.begin(); item != m_waiting.end(); ++item) {
                    if (!isFirst(item) || now >= item->deadline)
                        continue;
                    if (best == m_waiting.end() || grantOrder(*item) < grantOrder(*best))
                        best = item;
                }
                if (best == m_waiting.end())
                    break;
                granted.push_back(best->id);
                m_lastServed[best->organisation] = ++m_served;
                m_holders.push_back(*best);
                m_waiting.erase(best);
            }
            removeIdle();
            return granted;
        }

    private:
        using Item = std::vector<SlotTicket>::iterator;

        bool isFirst(Item item)
        {
            return std::none_of(m_waiting.begin(), item,
                [&](const SlotTicket& other) { return other.organisation == item->organisation; });
        }
        std::pair<long, std::uint64_t> grantOrder(const SlotTicket& ticket)
        {
            const auto held = std::count_if(m_holders.begin(), m_holders.end(),
                [&](const SlotTicket& other) { return other.organisation == ticket.organisation; });
            return { held, m_lastServed[ticket.organisation] };
        }
        // An organisation without tickets is treated like one that never had any.
        void removeIdle()
        {
            std::erase_if(m_lastServed, [&](const auto& item) {
                const auto same = [&](const SlotTicket& ticket) { return ticket.organisation == item.first; };
                return std::none_of(m_holders.begin(), m_holders.end(), same)
                    && std::none_of(m_waiting.begin(), m_waiting.end(), same);
            });
        }

        int m_slots;
        std::uint64_t m_served = 0;
        std::vector<SlotTicket> m_holders;
        std::vector<SlotTicket> m_waiting;
        std::map<OrganisationName, std::uint64_t> m_lastServed;
    };

} // namespace

TEST_CASE("the queue grants slots in the same order as the reference queue")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        const int slots = 1 + static_cast<int>(random() % 5);
        SlotQueue queue({ slots, 10000 });
        ReferenceQueue reference(slots);
        util::ManualClock clock;
        std::vector<std::uint64_t> activeIds;
        for (std::uint64_t id = 1; id <= 400; ++id) {
            clock.advance(std::chrono::milliseconds(1));
            const SlotTicket ticket { id, { std::string(1, static_cast<char>('a' + random() % 4)) },
                clock.now() + std::chrono::hours(1) };
            const bool granted = queue.acquire(ticket, clock.now()).granted;
            reference.acquire(ticket);
            const auto expected = reference.grant(clock.now());
            REQUIRE(
                expected == (granted ? std::vector<std::uint64_t> { id } : std::vector<std::uint64_t> {}));
            activeIds.push_back(id);
            while (!activeIds.empty() && random() % 2 == 0) {
                const auto at = random() % activeIds.size();
                queue.release(activeIds[at]);
                reference.release(activeIds[at]);
                activeIds.erase(activeIds.begin() + static_cast<std::ptrdiff_t>(at));
                REQUIRE(queue.grant(clock.now()) == reference.grant(clock.now()));
            }
            REQUIRE(queue.inUse() <= slots);
        }
    }
}

TEST_CASE("a busy organisation delays its own requests, not those of others")
{
    util::ManualClock clock;
    SlotQueue queue({ 3, 100 });
    const auto deadline = clock.now() + std::chrono::hours(1);
    for (std::uint64_t id = 1; id <= 50; ++id)
        queue.acquire({ id, { "busy" }, deadline }, clock.now());
    CHECK(queue.slotsHeldBy({ "busy" }) == 3);
    queue.acquire({ 100, { "calm" }, deadline }, clock.now());
    queue.release(1);
    CHECK(queue.grant(clock.now()) == std::vector<std::uint64_t> { 100 });
}

TEST_CASE("deadlines and the maximum length bound the queue")
{
    util::ManualClock clock;
    SlotQueue queue({ 1, 3 });
    const auto deadline = clock.now() + std::chrono::milliseconds(10);
    CHECK(queue.acquire({ 1, { "a" }, deadline }, clock.now()).granted);
    CHECK(!queue.acquire({ 2, { "a" }, deadline }, clock.now()).granted);
    CHECK(!queue.acquire({ 3, { "a" }, deadline }, clock.now()).displaced);
    CHECK(!queue.acquire({ 4, { "b" }, deadline }, clock.now()).displaced);
    // The fourth waiting ticket displaces the newest one of the organisation with the most waiting tickets.
    CHECK(queue.acquire({ 5, { "b" }, deadline }, clock.now()).displaced == 3);
    clock.advance(std::chrono::milliseconds(10));
    CHECK(queue.expire(clock.now()) == std::vector<std::uint64_t> { 2, 4, 5 });
    CHECK(queue.waiting() == 0);
    queue.release(1);
    CHECK(queue.inUse() == 0);
    CHECK(!queue.acquire({ 6, { "a" }, deadline }, clock.now()).granted);
}

TEST_CASE("a queued ticket gets a free slot only when grant() may grant one")
{
    const util::Time now { std::chrono::hours(1) };
    const auto deadline = now + std::chrono::seconds(1);
    SlotQueue queue({ 3, 100 });
    for (std::uint64_t id = 1; id <= 3; ++id)
        CHECK_FALSE(queue.enqueue({ id, { "harbour" }, deadline }).granted);
    CHECK(queue.inUse() == 0);
    CHECK(queue.grant(now, 0).empty());
    CHECK(queue.grant(now, 2) == std::vector<std::uint64_t> { 1, 2 });
    CHECK(queue.waiting() == 1);
}

} // namespace tarragonhaven::testing
