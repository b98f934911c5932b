#pragma once

#include "tarragonhaven/attempt_record.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guarded_target.h"
#include "tarragonhaven/request_context.h"

#include <memory>
#include <optional>

namespace tarragonhaven {

// An exchange with a target that this node guards. It waits for a slot, takes or makes a connection, and only
// then is open: nothing has been sent to the target before the first writeBody(). The slot is given back when
// the answer has ended, failed or been cancelled.
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

    // The target's state, for the node that asked.
    [[nodiscard]] TargetReport report() { return m_target->report(); }

private:
    void connect(OutcomeHandler<void> handler);
    void release(bool keepConnection);
    // The head as the target is to see it.
    [[nodiscard]] RequestHead headForTarget() const;
    // What the answer's head is worth: itself, or a refusal in its place.
    [[nodiscard]] Outcome<ResponseHead> checkedHead(Outcome<ResponseHead> head) const;
    void onHead(const Outcome<ResponseHead>& head);
    void onSlotResult(const Outcome<void>& slotResult);
    // Tells what came of the try, once.
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
    // When the stage that is under way began, and whether the record was told.
    util::Time m_stageStart {};
    bool m_attemptReported = false;
};

} // namespace tarragonhaven
