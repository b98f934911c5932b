#pragma once

#include "tarragonhaven/evacuation/cold_state.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guard_options.h"
#include "tarragonhaven/report_push_trigger.h"
#include "tarragonhaven/report_recipients.h"
#include "tarragonhaven/request_context.h"
#include "tarragonhaven/request_pacer.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/slot_queue.h"
#include "tarragonhaven/target.h"
#include "tarragonhaven/target_breaker.h"
#include "tarragonhaven/target_connection.h"
#include "tarragonhaven/target_notice.h"
#include "tarragonhaven/target_report.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace tarragonhaven {

// A target as managed by the one node that guards it: its slots, its queue, its idle connections, its
// breaker, the limit that the target has named and the counters of its successes and failures. Only this node
// sends requests to the target, so this state has a single writer: the requests of all entry nodes, retries
// and the requests of other targets are paced together. Not thread-safe: runs on the thread of `io`.
class GuardedTarget {
public:
    GuardedTarget(
        boost::asio::io_context& io, Target target, std::uint64_t incarnation, const GuardOptions& options);

    // Acquires a slot for the request, or queues the request until its queue timeout or deadline. Returns a
    // ticket for releaseSlot(), which gives back the slot or the place in the queue. A refusal always means
    // that the request did not run, and ends the ticket.
    std::uint64_t acquireSlot(const RequestContext& context, OutcomeHandler<void> handler);
    void releaseSlot(std::uint64_t ticket);
    // Refuses queued requests whose queue timeout or deadline has passed, and records overdue requests. Must
    // be called every few milliseconds.
    void tick();
    // Returns the entry nodes that must be sent a report now, if any.
    std::vector<InstanceName> entriesToNotify(const ReportRecipients::DataCentreOf& dataCentreOf);
    // Refuses new requests from now on, because the instance is stopping.
    void drain();
    // Applies the directory's record of the same target, as of a position in the store's history. Drops what
    // peers have reported up to that position. A target that is leaving gets no new requests: waiting
    // requests are refused, running ones finish.
    void update(const Target& target, const StorePosition& directoryAsOf = {});
    // What a peer read from the store about the target, as of a position in the store's history.
    struct PeerState {
        bool serving = true;
        StorePosition asOf;
    };
    // Applies what a peer reports, unless an earlier report is as new.
    void recordPeerState(PeerState state);
    // Sets whether the target's data centre is evacuated, as of a position in the store's history. While it
    // is, the target gets no new requests: waiting requests are refused, running ones finish.
    void setEvacuated(bool evacuated, const StorePosition& asOf);
    // Handles the removal of the target from the directory in the same way as a target that is leaving.
    void retire();

    // Returns an idle connection, or null. Connections that have been idle for longer than `maximumIdle` are
    // not used.
    std::unique_ptr<TargetConnection> takeIdleConnection(util::Duration maximumIdle);
    void storeIdleConnection(std::unique_ptr<TargetConnection> connection);

    // Returns whether any connection to the target is open: one of an idle connection, or of a request whose
    // response has not begun.
    [[nodiscard]] bool hasOpenConnection();

    // recordSent() records that a request with a slot was sent to the target; recordResult() then records its
    // result, once. `timeToFirstByte` is used for a success only.
    void recordSent(std::uint64_t ticket, bool repeat = false);
    void recordResult(std::uint64_t ticket, TargetResult result, util::Duration timeToFirstByte = {});
    // Records that a request with a slot is given up before its result. If it was sent and has waited for
    // several times the usual service time, it counts as a failure: otherwise a target that hangs would go
    // unnoticed once its requests are answered elsewhere.
    void recordAbandoned(std::uint64_t ticket);
    // Records what the target announced about itself in a response. An announced stop is final: a response
    // without the announcement was written earlier.
    void recordNotice(const TargetNotice& notice);
    // Records that no connection could be made for a request with a slot.
    void recordConnectFailure();

    [[nodiscard]] TargetReport report();
    // Returns which share of the requests that the target is running are repeats.
    [[nodiscard]] double repeatShare() const;
    // Returns whether any request is running at the target or waiting for it.
    [[nodiscard]] bool busy() const { return m_queue.inUse() > 0 || m_queue.waiting() > 0; }
    [[nodiscard]] int slotsInUse() const { return m_queue.inUse(); }
    [[nodiscard]] int waiting() const { return static_cast<int>(m_queue.waiting()); }
    [[nodiscard]] const Target& target() const { return m_target; }
    [[nodiscard]] const GuardOptions& options() const { return m_options; }
    // Returns the limit that is in force, in requests per second, if any.
    [[nodiscard]] std::optional<double> requestLimit() const
    {
        return m_pacer ? std::optional(m_pacer->limit()) : std::nullopt;
    }
    // Returns whether the target has announced that it is about to stop.
    [[nodiscard]] bool announcedLeaving() const { return m_announcedLeaving; }
    // Returns whether the target gets no new requests, because of the directory, its own announcement or a
    // report of a peer.
    [[nodiscard]] bool isLeaving() const
    {
        return m_target.leaving || m_announcedLeaving || (m_peerState && !m_peerState->serving);
    }
    // Returns whether the target's data centre is evacuated, as of a position in the store's history.
    [[nodiscard]] bool isEvacuated() const { return m_evacuatedAsOf.has_value(); }
    // Returns the refusal for a request that has a slot but must not be sent any more: its target's data
    // centre was evacuated meanwhile, or the target is cold and the pace allowed for an earlier sending.
    [[nodiscard]] std::optional<Refusal> refusalBeforeSend(std::uint64_t ticket);
    // Applies what the service declares of cold targets. The target counts as cold at first.
    void setColdStart(const ColdStartPolicy& policy);
    // Returns whether a health probe must be sent now; recordColdProbe() must follow.
    bool takeColdProbe();
    void recordColdProbe(std::optional<util::Duration> remaining);
    // Returns the change between cold and warm since the last call, if any.
    std::optional<ColdChange> takeColdChange();
    // Returns the requests per second that are sent while the target is cold; nothing if it is not.
    [[nodiscard]] std::optional<double> coldPace();
    // Returns the path of the target's health check, as its service declares it.
    [[nodiscard]] const std::string& healthPath() const { return m_healthPath; }
    // Returns how many requests were delayed or refused because of the pace of the cold target.
    [[nodiscard]] std::uint64_t pacedRequests() const { return m_pacedRequests; }
    // Returns the breaker's state if it differs from the state at the last call.
    std::optional<TargetBreaker::State> takeBreakerChange();
    [[nodiscard]] boost::asio::io_context& io() { return m_io; }

private:
    struct WaitingRequest {
        OutcomeHandler<void> handler;
        bool bypassesBreaker = false;
    };
    // A request that has a slot.
    struct Grant {
        util::Time at {};
        // Whether it has a token of the pace for cold targets.
        bool paced = false;
        // Whether it was sent on a connection that has not failed.
        bool connected = false;
    };
    // A request that was sent to the target.
    struct InFlightRequest {
        util::Time sentAt {};
        bool probe = false;
        // Whether the request was a probe that the breaker counts as successful already.
        bool survived = false;
        bool overdue = false;
        bool repeat = false;
    };

    // Returns the refusal for a request that must not be queued or given a slot, if any.
    [[nodiscard]] std::optional<Refusal> admissionRefusal(const RequestContext& context);
    // Returns the refusal for a request that would wait in the queue for longer than it may, if any.
    [[nodiscard]] std::optional<Refusal> predictedTimeout(const RequestContext& context, util::Time now);
    // Returns whether a request that arrives now gets a slot without waiting.
    [[nodiscard]] bool hasFreeSlot(util::Time now);
    // Returns a text for refusals that states the target's limit or pace; empty if there is none.
    [[nodiscard]] std::string limitDetail();
    // Returns the number of requests that the limit and the pace admit now, and the time until they have
    // admitted `count` more.
    [[nodiscard]] std::size_t admitted(util::Time now);
    [[nodiscard]] util::Duration timeUntilAdmitted(std::size_t count, util::Time now);
    [[nodiscard]] bool isCold(util::Time now) const { return m_cold && m_cold->isCold(now); }
    [[nodiscard]] std::optional<Refusal> evacuationRefusal() const;
    // Returns whether a connection is open on which requests were sent.
    [[nodiscard]] bool hasUsedConnection();
    // Records that a request has lost its connection, which a restart of the target explains if there is no
    // other.
    void recordConnectionLost(std::uint64_t ticket);
    void setLimit(std::optional<double> requestsPerSecond);
    // Applies the limit that an entry node knows, while the target has not responded to this guard yet.
    void adoptKnownLimit(const RequestContext& context);
    [[nodiscard]] Refusal breakerRefusal() const;
    void refuse(std::uint64_t ticket, Refusal refusal);
    void grantWaiting();
    void onGranted(std::uint64_t ticket, util::Time now);
    void recordBreakerResult(TargetResult result, bool probe, util::Duration age);
    void recordBreakerResult(TargetResult result, const InFlightRequest& request);
    // Records the probes that have waited for their responses for long enough to count as successful.
    void recordSurvivingProbes(util::Time now);
    // If the breaker is open, refuses the waiting requests that do not bypass it.
    void refuseWaitingWhenOpen();
    void refuseWaitingBecauseLeaving(const std::string& detail);
    // Refuses all waiting requests; without `includeBypassing`, spares those that bypass the breaker.
    void refuseWaiting(const Refusal& refusal, bool includeBypassing);

    boost::asio::io_context& m_io;
    Target m_target;
    GuardOptions m_options;
    SlotQueue m_queue;
    std::map<std::uint64_t, WaitingRequest> m_waiting;
    std::map<std::uint64_t, Grant> m_grants;
    // Set while a limit is in force.
    std::optional<RequestPacer> m_pacer;
    // Set if the service limits the requests to cold targets.
    std::optional<ColdState> m_cold;
    std::string m_healthPath;
    util::Time m_announcedColdUntil {};
    std::uint64_t m_pacedRequests = 0;
    // Whether a response has shown to this guard if the target names a limit.
    bool m_limitKnown = false;
    bool m_announcedLeaving = false;
    // Moving average of the time for which requests hold a slot; zero until the first request has ended.
    util::Duration m_averageHoldTime {};
    // Moving average of the time to the first byte of successful responses; zero until the first. Unlike the
    // hold time it does not contain requests that the target never answered.
    util::Duration m_averageServiceTime {};
    std::optional<PeerState> m_peerState;
    std::optional<StorePosition> m_evacuatedAsOf;
    std::optional<TargetBreaker> m_breaker;
    TargetBreaker::State m_lastReportedBreakerState = TargetBreaker::State::Closed;
    std::vector<std::unique_ptr<TargetConnection>> m_idleConnections;
    std::uint64_t m_nextTicket = 1;
    bool m_draining = false;
    TargetReport m_report;
    util::Time m_lastSuccess {};
    ReportPushTrigger m_pushTrigger;
    // Requests that were sent and whose response head has not arrived; each overdue one is counted once.
    std::map<std::uint64_t, InFlightRequest> m_inFlight;
    ReportRecipients m_reportRecipients;
};

} // namespace tarragonhaven
