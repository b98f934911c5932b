#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/member_set.h"
#include "tarragonhaven/ownership_group.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace tarragonhaven {

// The times that ownership depends on. OwnershipTracker explains `window` and `hold`.
struct OwnershipOptions {
    util::Duration window = std::chrono::milliseconds(2000);
    util::Duration hold = std::chrono::milliseconds(2200);
    // A member whose pings have not been received for longer than this is considered absent.
    util::Duration absentAfter = std::chrono::milliseconds(3000);
};

// A period in which a node owns a shard without interruption.
struct OwnershipTerm {
    // Increases with each term of this process; never 0.
    std::uint64_t number = 0;
    util::Time since {};
    // When the term ends unless it is renewed before.
    util::Time validUntil {};

    friend auto operator<=>(const OwnershipTerm&, const OwnershipTerm&) = default;
    friend bool operator==(const OwnershipTerm&, const OwnershipTerm&) = default;
};

// Decides whether this node may act as the owner of a shard, so that no two nodes of a data centre ever act
// as its owner at the same moment. There are no votes and no persistent state. Each member of the group has a
// view: the member set of its configuration, and the members that it considers absent because they are
// stopping or because it has not received their pings for some time. A view determines the owner of each
// shard: the first member in the shard's order that is not absent.
//
// Let `window` and `hold` be those of OwnershipOptions. A node may act as owner of a shard at time t only
// while a majority of the group's members, and a majority of each former member set, support it. A member
// supports the node if it answered a ping that the node sent at t - `window` or later, and the reply says
// that during the whole last `hold` the member was running, knew the node's present incarnation, and held
// only views under which the node owns the shard. docs/DESIGN.md contains the proof. The proof requires that
// `hold` exceeds `window` by at least the largest difference in rate between two clocks, and that
// consecutive member sets differ by one member.
//
// Tracks views, the support of other members and the terms of this node. Not thread-safe. All times have to
// come from one clock of this node that also counts the time for which the machine is suspended.
class OwnershipTracker {
public:
    OwnershipTracker(
        InstanceName self, std::uint64_t incarnation, util::Time now, OwnershipOptions options = {});

    // Sets the ownership group of this instance in a newly accepted configuration; nullopt if it is in none.
    void setGroup(const std::optional<OwnershipGroup>& group, util::Time now);

    // Returns the reply to a ping of another node, or nullopt if that node's incarnation has been replaced by
    // a later one. The caller has to set `revision` and `leaving` of the reply.
    std::optional<PongMessage> answerPing(
        const InstanceName& from, std::uint64_t incarnation, const PingMessage& ping, util::Time now);
    // Records whether a member is stopping.
    void recordLeaving(const InstanceName& member, bool leaving, util::Time now);
    // Handles the reply to a ping that this node sent.
    void onPong(const InstanceName& from, const PongMessage& pong, util::Time now);

    // Updates the view of absent members and renews or ends the terms of all shards of this node. Call this
    // several times in each OwnershipOptions::window.
    void renewTerms(util::Time now);
    // Returns the term in which this node owns the shard at `now`, or nullopt if it does not own the shard.
    std::optional<OwnershipTerm> term(int shard, util::Time now);
    // Returns all members of the current and the former member sets.
    [[nodiscard]] const std::vector<InstanceName>& membersToPing() const { return m_membersToPing; }
    [[nodiscard]] const MemberSet& currentSet() const { return *m_currentSet; }

private:
    using SetPointer = std::shared_ptr<const MemberSet>;
    // A view that this node holds or held within the last `hold`.
    struct HeldView {
        SetPointer set;
        MemberMask absent = 0;
        // When the view was replaced; nullopt while it is held.
        std::optional<util::Time> until;
    };
    struct KnownIncarnation {
        std::uint64_t incarnation = 0;
        util::Time since {};
        util::Time lastHeard {};
    };
    // A member's reply to the latest ping that it answered, and when that ping was sent.
    struct Support {
        util::Time sentAt {};
        std::vector<MemberView> heldViews;
    };

    SetPointer makeSet(const std::vector<InstanceName>& members);
    void adoptView(SetPointer set, MemberMask absent, util::Time now);
    void evictOldViews(util::Time now);
    [[nodiscard]] std::vector<MemberView> heldViews(util::Time now) const;
    [[nodiscard]] MemberMask absentMembers(util::Time now) const;
    void updateView(util::Time now);
    // Returns false if `incarnation` has been replaced by a later one.
    bool recordIncarnation(const InstanceName& from, std::uint64_t incarnation, util::Time now);
    [[nodiscard]] bool supports(const Support& support, int shard) const;
    [[nodiscard]] std::optional<util::Time> supportExpiry(
        const MemberSet& set, int shard, util::Time now) const;
    [[nodiscard]] std::optional<util::Time> expiry(int shard, util::Time now) const;
    void renewTerm(int shard, util::Time now);

    InstanceName m_self;
    std::uint64_t m_incarnation;
    util::Time m_startedAt;
    OwnershipOptions m_options;
    SetPointer m_currentSet;
    // The current and the former member sets. An owner needs a majority of each.
    std::vector<SetPointer> m_requiredSets;
    MemberMask m_absentMembers = 0;
    util::Time m_setAdoptedAt {};
    std::set<InstanceName> m_leaving;
    std::vector<HeldView> m_heldViews;
    std::map<std::uint64_t, SetPointer> m_sets;
    std::vector<InstanceName> m_membersToPing;
    std::vector<int> m_ownShards;
    std::map<InstanceName, KnownIncarnation> m_incarnations;
    std::map<InstanceName, Support> m_supports;
    std::map<int, OwnershipTerm> m_terms;
    std::uint64_t m_lastTerm = 0;
};

} // namespace tarragonhaven
