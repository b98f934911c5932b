#pragma once

#include "tarragonhaven/entry.h"
#include "tarragonhaven/exchange.h"
#include "tarragonhaven/guard_exchange.h"
#include "tarragonhaven/peer_exchange.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace tarragonhaven {

// A caller's request on its way: admission, choice of a target, and tries at targets, here or at other nodes.
//
// A request is tried again only if it certainly did not run, or if its route is idempotent and it has no
// body; each further try comes out of the service's retry budget.
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

private:
    using Attempt
        = std::variant<std::monostate, std::shared_ptr<GuardExchange>, std::shared_ptr<PeerExchange>>;

    void tryTarget(OutcomeHandler<void> handler);
    bool makeAttempt(const Target& target);
    void logChoice(const TargetChoice& choice);
    void opened(Outcome<void> opened, const OutcomeHandler<void>& handler);
    void headRead(Outcome<ResponseHead> head, const OutcomeHandler<ResponseHead>& handler);
    void tryAgain(const OutcomeHandler<ResponseHead>& handler);
    [[nodiscard]] bool mayTryAgain(RunState run);
    // The refusal that the caller is told: never "not run" when an earlier try may have run.
    Refusal finalRefusal(Refusal refusal);
    void attemptEnded();
    void noteReport(const TargetName& target, const TargetReport& report);
    void settle(IdentityOutcome outcome, int status);
    [[nodiscard]] AdmissionRequest admissionRequest() const;
    template <typename Call> void onAttempt(Call call);

    Entry& m_entry;
    AcceptedRequest m_request;
    Attempt m_attempt;
    TargetName m_target;
    std::set<TargetName> m_tried;
    std::uint64_t m_waiting = 0;
    bool m_admitted = false;
    bool m_settled = false;
    bool m_sent = false;
    // The failure of a try that may have run, if there was one.
    std::optional<Refusal> m_unknown;
    bool m_cancelled = false;
    util::Time m_started;
};

} // namespace tarragonhaven
