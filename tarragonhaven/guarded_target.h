#pragma once

#include "tarragonhaven/exchange.h"
#include "tarragonhaven/report_push.h"
#include "tarragonhaven/request_context.h"
#include "tarragonhaven/slot_queue.h"
#include "tarragonhaven/target.h"
#include "tarragonhaven/target_connection.h"
#include "tarragonhaven/target_report.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace tarragonhaven {

// A target seen by the one node that guards it: its slots, its queue, its kept connections and the evidence
// on its health. Only this node sends requests to the target, so all of it has a single writer.
class GuardedTarget {
public:
    GuardedTarget(boost::asio::io_context& io, Target target, std::uint64_t incarnation);

    // Takes a slot for the request, or waits for one until its deadline. The handler gets the ticket's id,
    // with which the slot is given back; a refusal is always "not run".
    void enter(const RequestContext& context, OutcomeHandler<std::uint64_t> handler);
    void leave(std::uint64_t ticket);
    // Refuses the tickets whose deadline has come, and notes overdue requests. Call it every few
    // milliseconds.
    void tick();
    // The entries that are to be told of the target now, if any: at most twelve at a time, in turn.
    std::vector<InstanceName> entriesToTell();
    // Refuses new requests, since the instance leaves.
    void drain();
    // Takes over changed settings of the same target.
    void update(const Target& target);

    // A kept connection, or null. Connections that were idle for longer than `maximumIdle` are left aside.
    std::unique_ptr<TargetConnection> takeIdle(util::Duration maximumIdle);
    void giveIdle(std::unique_ptr<TargetConnection> connection);

    // Notes that a granted request was sent to the target, and the head of its answer or the lack of one.
    void noteStarted(std::uint64_t ticket);
    void noteAnswer(std::uint64_t ticket, util::Duration toFirstByte);
    void noteFailure(std::uint64_t ticket);

    [[nodiscard]] TargetReport report();
    // Whether a request is at the target or waits for it.
    [[nodiscard]] bool busy() const { return m_queue.inUse() > 0 || m_queue.waiting() > 0; }
    [[nodiscard]] const Target& target() const { return m_target; }
    [[nodiscard]] boost::asio::io_context& io() { return m_io; }

private:
    using Handlers = std::map<std::uint64_t, OutcomeHandler<std::uint64_t>>;

    void refuse(std::uint64_t ticket, RefusalReason reason);
    void grantWaiting();

    boost::asio::io_context& m_io;
    Target m_target;
    SlotQueue m_queue;
    Handlers m_waiting;
    std::vector<std::unique_ptr<TargetConnection>> m_idle;
    std::uint64_t m_nextTicket = 1;
    bool m_draining = false;
    TargetReport m_report;
    ReportPush m_push;
    // Requests that wait for their first byte, and since when; those that are overdue are noted once.
    std::map<std::uint64_t, util::Time> m_started;
    std::map<InstanceName, util::Time> m_entries;
    // Where the next telling goes on in the entries.
    std::size_t m_nextTold = 0;
};

} // namespace tarragonhaven
