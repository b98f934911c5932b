#pragma once

#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guard_options.h"
#include "tarragonhaven/report_push_trigger.h"
#include "tarragonhaven/request_context.h"
#include "tarragonhaven/slot_queue.h"
#include "tarragonhaven/target.h"
#include "tarragonhaven/target_breaker.h"
#include "tarragonhaven/target_connection.h"
#include "tarragonhaven/target_report.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace tarragonhaven {

// A target seen by the one node that guards it: its slots, its queue, its kept connections and the evidence
// on its health. Only this node sends requests to the target, so all of it has a single writer.
class GuardedTarget {
public:
    GuardedTarget(
        boost::asio::io_context& io, Target target, std::uint64_t incarnation, const GuardOptions& options);

    // Takes a slot for the request, or waits for one until its deadline. Returns the ticket with which the
    // slot or the place in the queue is given back. A refusal is always "not run" and ends the ticket.
    std::uint64_t acquireSlot(const RequestContext& context, OutcomeHandler<void> handler);
    void releaseSlot(std::uint64_t ticket);
    // Refuses the tickets whose deadline has come, and notes overdue requests. Call it every few
    // milliseconds.
    void tick();
    // The entries that are to be told of the target now, if any: at most twelve at a time, in turn.
    std::vector<InstanceName> entriesToNotify();
    // Refuses new requests, since the instance leaves.
    void drain();
    // Takes over changed settings of the same target. One that leaves gets no new work: requests that wait
    // for it are refused, those at it are finished.
    void update(const Target& target);
    // The target is gone from the directory: the same as one that leaves.
    void retire();

    // A kept connection, or null. Connections that were idle for longer than `maximumIdle` are left aside.
    std::unique_ptr<TargetConnection> takeIdleConnection(util::Duration maximumIdle);
    void storeIdleConnection(std::unique_ptr<TargetConnection> connection);

    // Notes that a granted request was sent to the target, then once what came of it. `toFirstByte` counts
    // for a good answer.
    void recordSent(std::uint64_t ticket);
    void recordResult(std::uint64_t ticket, TargetResult result, util::Duration timeToFirstByte = {});
    // Notes that no connection could be made for a granted request.
    void recordConnectFailure();

    [[nodiscard]] TargetReport report();
    // Whether a request is at the target or waits for it.
    [[nodiscard]] bool busy() const { return m_queue.inUse() > 0 || m_queue.waiting() > 0; }
    [[nodiscard]] int slotsInUse() const { return m_queue.inUse(); }
    [[nodiscard]] int waiting() const { return static_cast<int>(m_queue.waiting()); }
    [[nodiscard]] const Target& target() const { return m_target; }
    [[nodiscard]] const GuardOptions& options() const { return m_options; }
    // The breaker's state, if it differs from that of the last call.
    std::optional<TargetBreaker::State> takeBreakerChange();
    [[nodiscard]] boost::asio::io_context& io() { return m_io; }

private:
    struct WaitingRequest {
        OutcomeHandler<void> handler;
        bool bypassesBreaker = false;
    };
    // A request at the target.
    struct InFlightRequest {
        util::Time sentAt {};
        bool probe = false;
        bool overdue = false;
    };

    [[nodiscard]] std::optional<Refusal> admissionRefusal(const RequestContext& context) const;
    [[nodiscard]] Refusal breakerRefusal() const;
    void refuse(std::uint64_t ticket, Refusal refusal);
    void grantWaiting();
    void onGranted(std::uint64_t ticket, util::Time now);
    void recordBreakerResult(TargetResult result, bool probe);
    // Refuses waiting requests that the breaker would not let through.
    void refuseWaitingWhenOpen();
    // Refuses the waiting requests, or those that do not insist.
    void refuseWaiting(const Refusal& refusal, bool includeBypassing);

    boost::asio::io_context& m_io;
    Target m_target;
    GuardOptions m_options;
    SlotQueue m_queue;
    std::map<std::uint64_t, WaitingRequest> m_waiting;
    std::map<std::uint64_t, util::Time> m_grantedAt;
    // Moving average of how long requests hold a slot; zero while none has ended.
    util::Duration m_averageHoldTime {};
    std::optional<TargetBreaker> m_breaker;
    TargetBreaker::State m_lastReportedBreakerState = TargetBreaker::State::Closed;
    std::vector<std::unique_ptr<TargetConnection>> m_idleConnections;
    std::uint64_t m_nextTicket = 1;
    bool m_draining = false;
    TargetReport m_report;
    util::Time m_lastSuccess {};
    ReportPushTrigger m_pushTrigger;
    // Requests that wait for their first byte; those that are overdue are noted once.
    std::map<std::uint64_t, InFlightRequest> m_inFlight;
    std::map<InstanceName, util::Time> m_entryLastUse;
    // Where the next telling goes on in the entries.
    std::size_t m_nextEntryToNotify = 0;
};

} // namespace tarragonhaven
