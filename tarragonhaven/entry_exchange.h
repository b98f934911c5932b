#pragma once

#include "tarragonhaven/attempt_planner.h"
#include "tarragonhaven/body_buffer.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/peer_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace tarragonhaven {

// Executes a caller's request: admits it, chooses a target, and makes attempts at targets guarded by this
// node or by other nodes.
//
// A request is retried only if it certainly did not run or if its route is idempotent, and only if its body
// can be sent again. A retry after an attempt that reached a target counts against the retry budget of the
// service. An idempotent request whose response is late is also sent to a second target, as a hedge, which
// counts as a retry; the first response is used and the other attempt is cancelled. The route limits how many
// targets may run a request. If all attempts fail, the handlers receive a Refusal.
class EntryExchange : public std::enable_shared_from_this<EntryExchange> {
public:
    // Counts the bodies that it keeps in `budget`, or in that of the entry if it is null.
    EntryExchange(Entry& entry, AcceptedRequest request, std::shared_ptr<BodyBudget> budget = nullptr);
    ~EntryExchange();
    EntryExchange(const EntryExchange&) = delete;
    EntryExchange& operator=(const EntryExchange&) = delete;

    void open(OutcomeHandler<void> handler);
    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler);
    void readHead(OutcomeHandler<ResponseHead> handler);
    void readBody(OutcomeHandler<BodyChunk> handler);
    void cancel();
    // Returns whether a target may have received the request.
    [[nodiscard]] bool mayHaveRun() const { return m_sendStarted || m_unknownOutcome.has_value(); }
    // Returns whether the response has been read completely, so that no target or node is needed to deliver
    // it.
    [[nodiscard]] bool responseReceived() const { return m_responseReceived; }

private:
    using Attempt
        = std::variant<std::monostate, std::shared_ptr<GuardExchange>, std::shared_ptr<PeerExchange>>;
    // A response that was read completely.
    struct BufferedResponse {
        BufferedResponse(ResponseHead responseHead, BodyBudget& budget)
            : head(std::move(responseHead))
            , body(budget)
        {
        }
        ResponseHead head;
        BodyBuffer body;
    };

    // A second attempt while the first one waits for its response.
    struct Hedge {
        Attempt exchange;
        TargetName target;
        DataCentreName dataCentre;
        std::uint64_t outstandingNumber = 0;
        // Whether the request has been sent completely and a response is awaited.
        bool awaitsHead = false;
        // Whether the target may have run the request, or may still do so.
        bool mayHaveRun = true;
    };

    [[nodiscard]] CrashContainment& containment() const { return m_entry.dependencies().guard.containment(); }
    void startAttempt(OutcomeHandler<void> handler);
    TargetChoice choose();
    bool createAttempt(const Target& target);
    // Returns an exchange with the target, or nothing if it cannot be reached from this node.
    Attempt makeExchange(const Target& target, const RequestContext& context);
    void scheduleHedge(const OutcomeHandler<ResponseHead>& handler);
    [[nodiscard]] bool mayHedge() const;
    void startHedge(const OutcomeHandler<ResponseHead>& handler);
    void sendHedge(std::size_t next, const OutcomeHandler<ResponseHead>& handler);
    void onHedgeHeadRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler);
    void onHedgeFailed(const Refusal& refusal);
    // Ends the attempt in progress and continues with the hedge in its place.
    void promoteHedge();
    void dropHedge();
    // Records that a target may have run the request, though its response was not awaited.
    void recordAbandonedRun();
    void logChoice(const TargetChoice& choice);
    void logResponse(int status);
    void onOpened(Outcome<void> opened, const OutcomeHandler<void>& handler);
    void onHeadRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler);
    void bufferResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler);
    // Keeps the buffered response, to pass it on if no later attempt succeeds.
    void keepAsFallback(const ResponseHead& head);
    void onResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler);
    // Passes a response on as the result of the request.
    void passResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler);
    void onAttemptFailed(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler);
    void retry(const OutcomeHandler<ResponseHead>& handler);
    void replayBody(std::size_t next, const OutcomeHandler<ResponseHead>& handler);
    // Records why an attempt failed, so that later attempts and other requests can avoid its target. Calls
    // the handler with whether the request is to be retried, at once or when the retry limit has been asked.
    void recordFailedAttempt(const Refusal& refusal, std::function<void(bool)> handler);
    void recordRefusal(const TargetName& target, const Refusal& refusal);
    // Returns why the request is not retried, or an empty text if it may be. The budget is not checked.
    [[nodiscard]] std::string_view retryDenialReason(const Refusal& refusal);
    [[nodiscard]] bool canReplayBody() const;
    // Ends the request with the fallback response, if there is one, or with the refusal. The refusal never
    // says "not run" if an earlier attempt may have run.
    void finish(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler);
    Refusal finalRefusal(Refusal refusal);
    void onAttemptEnded();
    // Records the time from the start of the attempt in progress as a round trip to its data centre.
    void recordRoundTrip();
    // Counts bytes that are exchanged with the data centre of a target.
    void recordSentBytes(const DataCentreName& dataCentre, std::size_t bytes);
    void recordReceived(const BodyChunk& chunk);
    void recordRequest();
    void returnUnusedRetry();
    void settleAdmission(IdempotencyOutcome outcome, int status);
    [[nodiscard]] AdmissionRequest admissionRequest() const;
    template <typename Call> static void withExchange(Attempt& attempt, Call call);
    template <typename Call> void withAttempt(Call call) { withExchange(m_attempt, std::move(call)); }
    void logFailedAttempt(const TargetName& target, const Refusal& refusal, std::string_view again);

    Entry& m_entry;
    std::shared_ptr<BodyBudget> m_budget;
    AcceptedRequest m_request;
    Attempt m_attempt;
    TargetName m_target;
    DataCentreName m_dataCentre;
    util::Time m_attemptStarted {};
    std::size_t m_receivedBytes = 0;
    AttemptPlanner m_planner;
    // The number of targets that may have run the request.
    int m_possibleRuns = 0;
    std::uint64_t m_outstandingNumber = 0;
    bool m_admitted = false;
    bool m_settled = false;
    // Whether any attempt has reached a target, and whether a retry was taken for an attempt that has not.
    bool m_reachedTarget = false;
    bool m_holdsRetry = false;
    bool m_sendStarted = false;
    // What was sent of the request body, while all of it is kept to be sent again.
    BodyBuffer m_replayBody;
    std::size_t m_sentBodyBytes = 0;
    // The part of the response body that was read before the head was passed on.
    BodyBuffer m_bufferedBody;
    // A server error from a target, passed on if no later attempt succeeds.
    std::optional<BufferedResponse> m_fallbackResponse;
    // The refusal of the latest attempt that may have run, if any.
    std::optional<Refusal> m_unknownOutcome;
    std::optional<Hedge> m_hedge;
    boost::asio::steady_timer m_hedgeTimer;
    bool m_hedgeStarted = false;
    // Whether the attempt in progress waits for its response. A timer that has expired cannot be cancelled
    // any more, so its handler may run after the response has arrived.
    bool m_awaitsHead = false;
    bool m_responseReceived = false;
    bool m_cancelled = false;
    util::Time m_started;
};

} // namespace tarragonhaven
