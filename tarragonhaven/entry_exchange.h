#pragma once

#include "tarragonhaven/entry.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/peer_exchange.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace tarragonhaven {

// A caller's request on its way: admission, choice of a target, and tries at targets, here or at other nodes.
//
// A request is tried again only if it certainly did not run, or if its route is idempotent, and only while
// its body is kept. A try that reached a target comes out of the service's retry budget. How many targets may
// run a request is bounded by its route.
class EntryExchange : public std::enable_shared_from_this<EntryExchange> {
public:
    EntryExchange(Entry& entry, AcceptedRequest request);
    ~EntryExchange();
    EntryExchange(const EntryExchange&) = delete;
    EntryExchange& operator=(const EntryExchange&) = delete;

    void open(OutcomeHandler<void> handler);
    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler);
    void readHead(OutcomeHandler<ResponseHead> handler);
    void readBody(OutcomeHandler<BodyChunk> handler);
    void cancel();
    // Whether a target may have been sent the request.
    [[nodiscard]] bool mayHaveRun() const { return m_bodySendStarted || m_unknownOutcome.has_value(); }

private:
    using Attempt
        = std::variant<std::monostate, std::shared_ptr<GuardExchange>, std::shared_ptr<PeerExchange>>;
    // An answer that was read whole.
    struct BufferedResponse {
        ResponseHead head;
        std::deque<BodyChunk> body;
    };

    void startAttempt(OutcomeHandler<void> handler);
    TargetChoice choose();
    bool createAttempt(const Target& target);
    void logChoice(const TargetChoice& choice);
    void logResponse(int status);
    void onOpened(Outcome<void> opened, const OutcomeHandler<void>& handler);
    void onHeadRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler);
    void bufferResponse(
        const ResponseHead& head, std::size_t bytes, const OutcomeHandler<ResponseHead>& handler);
    void onResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler);
    void onAttemptFailed(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler);
    void retry(const OutcomeHandler<ResponseHead>& handler);
    void replayBody(std::size_t next, const OutcomeHandler<ResponseHead>& handler);
    // Notes why a try failed, for the tries that follow and for other requests, and decides whether there is
    // to be another.
    [[nodiscard]] bool recordFailedAttempt(const Refusal& refusal);
    void recordRefusal(const Refusal& refusal);
    // Why the request is not tried again; empty when it is. Takes a retry out of the budget.
    [[nodiscard]] std::string_view retryDenialReason(const Refusal& refusal);
    [[nodiscard]] bool canReplayBody() const;
    // What the caller is told at last: an answer that was kept, or the refusal, which is never "not run" when
    // an earlier try may have run.
    void finish(const Refusal& refusal, const OutcomeHandler<ResponseHead>& handler);
    Refusal finalRefusal(Refusal refusal);
    void onAttemptEnded();
    void recordReport(const TargetName& target, const TargetReport& report);
    void settleAdmission(IdentityOutcome outcome, int status);
    [[nodiscard]] AdmissionRequest admissionRequest() const;
    template <typename Call> void withAttempt(Call call);

    Entry& m_entry;
    AcceptedRequest m_request;
    Attempt m_attempt;
    TargetName m_target;
    // Targets that refused for want of a slot, those that their guards hold back, and those that are of no
    // use to this request for any other reason.
    std::set<TargetName> m_targetsWithoutFreeSlot;
    std::set<TargetName> m_suspectTargets;
    std::set<TargetName> m_failedTargets;
    int m_attempts = 0;
    // Targets that may have run the request.
    int m_possibleRuns = 0;
    std::uint64_t m_outstandingNumber = 0;
    bool m_admitted = false;
    bool m_settled = false;
    bool m_bodySendStarted = false;
    std::vector<BodyChunk> m_replayBody;
    std::size_t m_sentBodyBytes = 0;
    // What was read of an answer before its head was passed on.
    std::deque<BodyChunk> m_bufferedBody;
    // A failure that a target answered, passed on if no other try does better.
    std::optional<BufferedResponse> m_fallbackResponse;
    // The failure of a try that may have run, if there was one.
    std::optional<Refusal> m_unknownOutcome;
    bool m_cancelled = false;
    util::Time m_started;
};

} // namespace tarragonhaven
