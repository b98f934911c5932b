#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace tarragonhaven {

// Limits of a SlotQueue.
struct SlotQueueOptions {
    int slots = 1;
    std::size_t maximumWaiting = 1000;
};

// A request that needs a slot.
struct SlotTicket {
    std::uint64_t id = 0;
    OrganisationName organisation;
    // The ticket is not granted at or after this time.
    util::Time deadline {};
    // Tickets of a lower rank are granted first, regardless of their organisation.
    int rank = 0;

    friend auto operator<=>(const SlotTicket&, const SlotTicket&) = default;
    friend bool operator==(const SlotTicket&, const SlotTicket&) = default;
};

// The result of SlotQueue::acquire().
struct SlotAcquisition {
    bool granted = false;
    // The ticket that was dropped because the queue was full: this one or another that was waiting.
    std::optional<std::uint64_t> displaced;

    friend auto operator<=>(const SlotAcquisition&, const SlotAcquisition&) = default;
    friend bool operator==(const SlotAcquisition&, const SlotAcquisition&) = default;
};

// Shares the slots of one target between organisations. Not thread-safe.
//
// A request that finds a free slot takes it; otherwise it waits in the queue of its organisation, behind
// requests of the same or a lower rank. A free slot goes to the lowest rank that is waiting; within that
// rank, to the organisation that holds the fewest slots of this target; on a tie, to the one that was served
// longest ago, then to the one whose request came first; within an organisation, to the oldest request. An
// organisation that sends many requests, or holds slots for long, therefore delays its own requests before
// those of others, while a single busy organisation may use every slot.
//
// The queue is bounded by the deadlines of its requests and by a maximum number of waiting requests. Beyond
// that maximum, the newest request of the organisation with the most waiting requests is dropped.
//
//   SlotQueue queue({ .slots = 3, .maximumWaiting = 100 });
//   if (queue.acquire({ 7, { "harbour" }, deadline }, now).granted)
//       run(7);
//   ...
//   queue.release(7);
//   for (const auto id : queue.grant(now))
//       run(id);
class SlotQueue {
public:
    explicit SlotQueue(SlotQueueOptions options);

    // Grants the ticket a free slot or queues it. The id must not be in use.
    SlotAcquisition acquire(const SlotTicket& ticket, util::Time now);
    // Queues the ticket even if a slot is free. The id must not be in use.
    SlotAcquisition enqueue(const SlotTicket& ticket);
    // Releases the slot of a granted ticket, or removes a waiting ticket. Ignores unknown ids.
    void release(std::uint64_t id);
    // Grants free slots to waiting tickets, at most `maximum`, and returns their ids in the order of the
    // grants.
    std::vector<std::uint64_t> grant(
        util::Time now, std::size_t maximum = std::numeric_limits<std::size_t>::max());
    // Removes the waiting tickets whose deadline has passed and returns their ids.
    std::vector<std::uint64_t> expire(util::Time now);
    // Changes the number of slots. Tickets that hold a slot keep it, even beyond the new number.
    void resize(int slots);

    [[nodiscard]] int slots() const { return m_options.slots; }
    [[nodiscard]] int inUse() const { return static_cast<int>(m_holders.size()); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting; }
    // Returns the number of waiting tickets that would be granted before a new one of this rank.
    [[nodiscard]] std::size_t waitingBefore(int rank) const;
    [[nodiscard]] int slotsHeldBy(const OrganisationName& organisation) const;

private:
    struct OrganisationState {
        int slotsHeld = 0;
        std::uint64_t lastServed = 0;
        std::deque<SlotTicket> queue;
    };
    using OrganisationStates = std::map<OrganisationName, OrganisationState>;

    void assignSlot(const SlotTicket& ticket);
    std::optional<std::uint64_t> displaceNewest();
    static std::tuple<int, int, std::uint64_t, std::uint64_t> grantOrder(const OrganisationState& state);
    OrganisationStates::iterator nextToServe(util::Time now);
    void eraseIfIdle(OrganisationStates::iterator state);
    bool removeWaiting(std::uint64_t id);

    SlotQueueOptions m_options;
    OrganisationStates m_organisations;
    std::map<std::uint64_t, OrganisationName> m_holders;
    std::size_t m_waiting = 0;
    std::uint64_t m_grantCount = 0;
};

} // namespace tarragonhaven
