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

// Decides whether this node may act as the owner of a shard, so that no two nodes of a data centre ever do at
// the same moment. Nothing is voted on, written or kept. Each member has a view: the member set of its
// configuration, and the members that it takes for absent, because they leave or it has not heard their pings
// for a while. A view says who owns each shard: the first in the shard's order who is not absent.
//
// A node may act as owner of a shard at time t only while more than half of the group's members, and more
// than half of each former member set, each answered a ping of its, sent at t - `window` or later, that for
// the whole of the last `hold`, they ran, knew this incarnation of the asker, and held only views under which
// the asker owns the shard. docs/DESIGN.md gives the proof; it needs `hold` to exceed `window` by the largest
// difference in rate between two clocks, and any two member sets that follow one another to differ by one
// member.
struct OwnershipOptions {
    util::Duration window = std::chrono::milliseconds(2000);
    util::Duration hold = std::chrono::milliseconds(2200);
    // A member whose pings were not heard for this long is taken for absent.
    util::Duration absentAfter = std::chrono::milliseconds(3000);
};

// An uninterrupted time of ownership of a shard.
struct OwnershipTerm {
    // Grows with each term of this process; never 0.
    std::uint64_t number = 0;
    util::Time since {};
    // The term ends here unless it is renewed before.
    util::Time validUntil {};

    friend auto operator<=>(const OwnershipTerm&, const OwnershipTerm&) = default;
    friend bool operator==(const OwnershipTerm&, const OwnershipTerm&) = default;
};

class OwnershipTracker {
public:
    OwnershipTracker(
        InstanceName self, std::uint64_t incarnation, util::Time now, OwnershipOptions options = {});

    // Takes over the group that a newly accepted configuration gives this instance; nothing when it is in
    // none.
    void setGroup(const std::optional<OwnershipGroup>& group, util::Time now);

    // Answers a ping as a member. Returns nothing for an incarnation that was replaced by a later one.
    std::optional<PongMessage> answerPing(
        const InstanceName& from, std::uint64_t incarnation, const PingMessage& ping, util::Time now);
    // Notes that a member leaves, or does so no longer.
    void recordLeaving(const InstanceName& member, bool leaving, util::Time now);
    // Takes in the answer to a ping of this node.
    void onPong(const InstanceName& from, const PongMessage& pong, util::Time now);

    // Looks for absent members and at the support for every shard of this node. Call it several times a
    // window.
    void renewTerms(util::Time now);
    // The term in which this node owns the shard now, or nothing.
    std::optional<OwnershipTerm> term(int shard, util::Time now);
    // The members to ping.
    [[nodiscard]] const std::vector<InstanceName>& membersToPing() const { return m_membersToPing; }
    [[nodiscard]] const MemberSet& currentSet() const { return *m_currentSet; }

private:
    using SetPointer = std::shared_ptr<const MemberSet>;
    struct HeldView {
        SetPointer set;
        MemberMask absent = 0;
        // The end of the time when it was held; nothing while it is.
        std::optional<util::Time> until;
    };
    struct KnownIncarnation {
        std::uint64_t incarnation = 0;
        util::Time since {};
        util::Time lastHeard {};
    };
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
