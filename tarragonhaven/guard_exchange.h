#pragma once

#include "tarragonhaven/attempt_record.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guarded_target.h"
#include "tarragonhaven/request_context.h"

#include <memory>
#include <optional>

namespace tarragonhaven {

// One request and its response, exchanged with a target that this node guards. open() waits for a slot,
// reuses or makes a connection, and only then calls its handler: nothing is sent to the target before the
// first writeBody(). The slot is released when the response has ended or failed, or when the exchange is
// cancelled. Errors are reported to the handlers as refusals.
class GuardExchange : public std::enable_shared_from_this<GuardExchange> {
public:
    GuardExchange(std::shared_ptr<GuardedTarget> target, RequestContext context, RequestHead head);
    ~GuardExchange();
    GuardExchange(const GuardExchange&) = delete;
    GuardExchange& operator=(const GuardExchange&) = delete;

    void open(OutcomeHandler<void> handler);
    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler);
    void readHead(OutcomeHandler<ResponseHead> handler);
    void readBody(OutcomeHandler<BodyChunk> handler);
    void cancel();

    // Returns the current report on the target, for the entry node that sent the request.
    [[nodiscard]] TargetReport report() { return m_target->report(); }

private:
    void connect(OutcomeHandler<void> handler);
    void release(bool keepConnection);
    // Passes to a handler why the request was not sent.
    template <typename T> void postUnsent(OutcomeHandler<T> handler);
    // Returns the request head with the header fields that are added for the target.
    [[nodiscard]] RequestHead headForTarget() const;
    // Returns the response head if it is valid, otherwise a refusal. Records what the target announces about
    // itself.
    [[nodiscard]] Outcome<ResponseHead> checkedHead(Outcome<ResponseHead> head);
    void onHead(const Outcome<ResponseHead>& head);
    void onSlotResult(const Outcome<void>& slotResult);
    // Reports that the target has answered the request completely or, if that has failed, that its connection
    // was lost.
    void reportEnd(const std::optional<Refusal>& failure) const;
    // Passes the record of the attempt to the `onAttempt` option; only the first call has an effect.
    void reportAttempt(int status, std::optional<Refusal> refusal);

    std::shared_ptr<GuardedTarget> m_target;
    RequestContext m_context;
    RequestHead m_head;
    std::unique_ptr<TargetConnection> m_connection;
    std::uint64_t m_ticket = 0;
    bool m_requestBegun = false;
    bool m_cancelled = false;
    util::Time m_sentAt {};
    AttemptRecord m_record;
    // Why the request was not sent although it had a slot, if so.
    std::optional<Refusal> m_unsent;
    // Start of the current stage, and whether the attempt has been reported.
    util::Time m_stageStart {};
    bool m_attemptReported = false;
};

} // namespace tarragonhaven
