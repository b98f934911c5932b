#pragma once

#include "tarragonhaven/entry_options.h"
#include "tarragonhaven/refusal.h"
#include "tarragonhaven/spillover/spill_placement.h"
#include "tarragonhaven/target_chooser.h"

#include <functional>
#include <set>

namespace tarragonhaven {

// Plans the attempts of one request: which targets each may use, and whether it may queue there.
//
// The first attempts, up to EntryOptions::nonQueuingAttempts, look for a target with a free slot among those
// that are not known to be full, in the own data centre first. They end early once enough targets in other
// data centres had no free slot, because each such attempt carries the head of the request there. Then the
// request queues at the target where the wait seems the shortest. If that queue and the next ones are too
// long for the request, it cannot be served in time elsewhere either and is refused; an idempotent
// request is sent to targets whose breakers hold back requests, if the options allow it. Other requests are
// not, since they would only risk an outcome of "unknown".
//
// With a placement, the first attempt is made in the data centre that it names, if a target there may be
// used, and later attempts leave out the data centres that lack capacity, unless no other target may be used.
class AttemptPlanner {
public:
    // Chooses among the targets of the service.
    using Choose = std::function<TargetChoice(const ChoiceRequest&)>;

    struct Attempt {
        TargetChoice choice;
        bool mayQueue = true;
        bool bypassesBreaker = false;
    };

    AttemptPlanner(const EntryOptions& options, bool idempotent)
        : m_options(options)
        , m_idempotent(idempotent)
    {
    }

    // Sets the data centre of the first attempt, and those that later attempts avoid.
    void setPlacement(SpillPlacement placement) { m_placement = std::move(placement); }
    [[nodiscard]] const SpillPlacement& placement() const { return m_placement; }
    // Returns the next attempt. Its choice has no target if none may be used.
    [[nodiscard]] Attempt next(const Choose& choose) const;
    // Records that an attempt was made. `remote` says whether the target is in another data centre.
    void recordAttempt(const TargetName& target, bool remote);
    // Returns the target of a hedge: a second attempt while another one waits for its response. Only a target
    // that may have a free slot is used; without one the choice has no target.
    [[nodiscard]] TargetChoice hedge(const Choose& choose) const;
    // Records why the attempt at a target failed, so that the next ones avoid the target.
    void recordRefusal(const TargetName& target, RefusalReason reason);

    // Returns whether the request is to be refused, because enough of the shortest queues were too long.
    [[nodiscard]] bool isRefusedEverywhere() const;
    // The number of attempts made.
    [[nodiscard]] int attempts() const { return m_attempts; }

private:
    // Returns a choice among the targets that have not refused or failed the request.
    [[nodiscard]] ChoiceRequest anyTarget() const;
    // Returns a choice among those of them that may have a free slot.
    [[nodiscard]] ChoiceRequest freeTarget() const;
    [[nodiscard]] bool looksForFreeSlot() const;
    [[nodiscard]] bool mayBypassBreaker() const
    {
        return m_options.bypassBreakerAsLastResort && m_idempotent;
    }
    [[nodiscard]] bool enoughQueuesFull() const;

    const EntryOptions& m_options;
    bool m_idempotent;
    SpillPlacement m_placement;
    int m_attempts = 0;
    std::set<TargetName> m_attempted;
    std::set<TargetName> m_remoteTargets;
    int m_remoteTargetsWithoutFreeSlot = 0;
    int m_fullQueues = 0;
    // Targets that had no free slot, targets whose guards' breakers held the request back, and targets that
    // failed the request for any other reason.
    std::set<TargetName> m_targetsWithoutFreeSlot;
    std::set<TargetName> m_suspectTargets;
    std::set<TargetName> m_failedTargets;
};

} // namespace tarragonhaven
