// Proof sketch that two nodes never act as owner at the same moment. Suppose that X and Y act as owners of a
// shard at the same moment t. Each is supported by a majority of the newest member set that both require
// (consecutive sets differ by one member, so a majority of one and a majority of the next have a member in
// common as well). Let m be a member in both majorities. m answered X at some time a and Y at some time b,
// both at t - window or later; assume a <= b without loss of generality. At b, m stated that under every view
// that it had held during the last `hold`, Y is the owner. Because hold > window >= b - a, this includes the
// view at a; but under the view that m held at a, X is the owner. Therefore X is Y.
//
// The proof does not depend on how m arrives at its views, so m may consider any members absent. That affects
// which node may own a shard, but never allows two owners. A member that has restarted, or that has learned
// of a restart of the requester, reports `holdElapsed` as false for the time `hold` and supports no one
// meanwhile. A process that was suspended checks its own clock, which counts the time of suspension, before
// it acts.
//
// A term ends when support is lost, and the next one starts when support is regained. Support is evaluated
// whenever a pong arrives. If it was lost between two evaluations, the term's `validUntil` has passed at the
// second one, so a term never includes a moment without support.
//
// Cost: handling a pong takes time proportional to the number of shards that this node may own (256 /
// members) times the number of members. The cost of answering a ping is negligible. A round of pings takes
// one datagram to and one from each other member.

#include "tarragonhaven/ownership_tracker.h"

#include "util/check.h"

#include <algorithm>
#include <set>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumKnownSets = 32;

    util::Time fromNanoseconds(std::int64_t nanoseconds)
    {
        return util::Time(std::chrono::nanoseconds(nanoseconds));
    }

} // namespace

OwnershipTracker::OwnershipTracker(
    InstanceName self, std::uint64_t incarnation, util::Time now, OwnershipOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_startedAt(now)
    , m_options(options)
    , m_currentSet(std::make_shared<MemberSet>())
{
    TARRAGONHAVEN_CHECK(
        options.hold > options.window, "OwnershipOptions::hold is longer than OwnershipOptions::window");
}

OwnershipTracker::SetPointer OwnershipTracker::makeSet(const std::vector<InstanceName>& members)
{
    // The id of a set depends on the members' names alone, so an existing set with the same members is
    // reused.
    auto sorted = members;
    std::sort(sorted.begin(), sorted.end());
    for (const auto& [id, set] : m_sets) {
        if (set->members() == sorted)
            return set;
    }
    auto set = std::make_shared<const MemberSet>(members);
    m_sets.emplace(set->id(), set);
    return set;
}

void OwnershipTracker::setGroup(const std::optional<OwnershipGroup>& group, util::Time now)
{
    const auto next = group ? makeSet(group->members) : std::make_shared<const MemberSet>();
    m_requiredSets = { next };
    if (group) {
        for (const auto& former : group->formerMembers)
            m_requiredSets.push_back(makeSet(former));
    }
    std::set<InstanceName> membersToPing;
    for (const auto& set : m_requiredSets)
        membersToPing.insert(set->members().begin(), set->members().end());
    m_membersToPing.assign(membersToPing.begin(), membersToPing.end());
    if (next->id() == m_currentSet->id())
        return;
    m_setAdoptedAt = now;
    m_currentSet = next;
    adoptView(next, absentMembers(now), now);
}

// Replaces the held view. Terms of shards that have another owner under the new view end at once.
void OwnershipTracker::adoptView(SetPointer set, MemberMask absent, util::Time now)
{
    if (!m_heldViews.empty() && !m_heldViews.back().until)
        m_heldViews.back().until = now;
    m_absentMembers = absent;
    m_heldViews.push_back({ set, absent, std::nullopt });
    m_ownShards.clear();
    for (int shard = 0; shard < ownershipShards && !set->empty(); ++shard) {
        if (set->owner(shard, absent) == m_self)
            m_ownShards.push_back(shard);
    }
    std::erase_if(m_terms, [this](const auto& item) {
        return !std::binary_search(m_ownShards.begin(), m_ownShards.end(), item.first);
    });
    evictOldViews(now);
}

// A member is absent if it is stopping, or if no ping of it was received for longer than `absentAfter`,
// counted from its last ping, from the start of this node or from the adoption of the member set, whichever
// is latest. This node itself is never absent.
MemberMask OwnershipTracker::absentMembers(util::Time now) const
{
    MemberMask absent = 0;
    const auto& members = m_currentSet->members();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i] == m_self)
            continue;
        auto since = std::max(m_startedAt, m_setAdoptedAt);
        const auto known = m_incarnations.find(members[i]);
        if (known != m_incarnations.end())
            since = std::max(since, known->second.lastHeard);
        if (m_leaving.contains(members[i]) || now - since > m_options.absentAfter)
            absent |= MemberMask(1) << i;
    }
    return absent;
}

void OwnershipTracker::updateView(util::Time now)
{
    const auto absent = absentMembers(now);
    if (absent != m_absentMembers)
        adoptView(m_currentSet, absent, now);
}

void OwnershipTracker::recordLeaving(const InstanceName& member, bool leaving, util::Time now)
{
    if (leaving)
        m_leaving.insert(member);
    else
        m_leaving.erase(member);
    updateView(now);
}

void OwnershipTracker::evictOldViews(util::Time now)
{
    std::erase_if(
        m_heldViews, [&](const HeldView& held) { return held.until && *held.until < now - m_options.hold; });
    if (m_sets.size() <= maximumKnownSets)
        return;
    std::set<std::uint64_t> used;
    for (const auto& held : m_heldViews)
        used.insert(held.set->id());
    for (const auto& required : m_requiredSets)
        used.insert(required->id());
    std::erase_if(m_sets, [&used](const auto& item) { return !used.contains(item.first); });
}

std::vector<MemberView> OwnershipTracker::heldViews(util::Time now) const
{
    std::vector<MemberView> views;
    for (const auto& held : m_heldViews) {
        if (!held.until || *held.until >= now - m_options.hold)
            views.push_back({ held.set->id(), held.absent });
    }
    return views;
}

bool OwnershipTracker::recordIncarnation(const InstanceName& from, std::uint64_t incarnation, util::Time now)
{
    const auto found = m_incarnations.find(from);
    if (found == m_incarnations.end()) {
        m_incarnations.emplace(from, KnownIncarnation { incarnation, now, now });
        return true;
    }
    auto& known = found->second;
    // An instance that was unresponsive for long may come back with a lower incarnation number, if its wall
    // clock was set back.
    const bool unresponsive = now - known.lastHeard > 2 * m_options.hold;
    if (incarnation < known.incarnation && !unresponsive)
        return false;
    if (incarnation != known.incarnation)
        known = { incarnation, now, now };
    known.lastHeard = now;
    return true;
}

std::optional<PongMessage> OwnershipTracker::answerPing(
    const InstanceName& from, std::uint64_t incarnation, const PingMessage& ping, util::Time now)
{
    if (!recordIncarnation(from, incarnation, now))
        return std::nullopt;
    const bool ranForHold = now - m_startedAt >= m_options.hold;
    const bool knownForHold = now - m_incarnations.at(from).since >= m_options.hold;
    PongMessage pong;
    pong.sentAt = ping.sentAt;
    pong.requesterIncarnation = incarnation;
    updateView(now);
    pong.holdElapsed = ranForHold && knownForHold;
    pong.heldViews = heldViews(now);
    return pong;
}

void OwnershipTracker::onPong(const InstanceName& from, const PongMessage& pong, util::Time now)
{
    const auto sentAt = fromNanoseconds(pong.sentAt);
    if (pong.requesterIncarnation != m_incarnation || !pong.holdElapsed || pong.heldViews.empty()
        || sentAt > now)
        return;
    auto& support = m_supports[from];
    if (sentAt < support.sentAt)
        return;
    support = { sentAt, pong.heldViews };
    renewTerms(now);
}

void OwnershipTracker::renewTerms(util::Time now)
{
    updateView(now);
    for (const int shard : m_ownShards)
        renewTerm(shard, now);
}

bool OwnershipTracker::supports(const Support& support, int shard) const
{
    return std::all_of(support.heldViews.begin(), support.heldViews.end(), [&](const MemberView& view) {
        const auto set = m_sets.find(view.setId);
        return set != m_sets.end() && !set->second->empty()
            && set->second->owner(shard, view.absent) == m_self;
    });
}

// Returns when the support of a majority of `set` ends, or nullopt if a majority does not support this node
// now.
std::optional<util::Time> OwnershipTracker::supportExpiry(
    const MemberSet& set, int shard, util::Time now) const
{
    std::vector<util::Time> sent;
    for (const auto& member : set.members()) {
        if (member == m_self) {
            const Support own { now, heldViews(now) };
            if (now - m_startedAt >= m_options.hold && !own.heldViews.empty() && supports(own, shard))
                sent.push_back(now);
            continue;
        }
        const auto found = m_supports.find(member);
        if (found != m_supports.end() && supports(found->second, shard))
            sent.push_back(found->second.sentAt);
    }
    if (set.empty() || sent.size() < set.majority())
        return std::nullopt;
    std::sort(sent.begin(), sent.end(), std::greater<>());
    return sent[set.majority() - 1] + m_options.window;
}

std::optional<util::Time> OwnershipTracker::expiry(int shard, util::Time now) const
{
    std::optional<util::Time> earliest;
    for (const auto& set : m_requiredSets) {
        const auto end = supportExpiry(*set, shard, now);
        if (!end)
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, *end) : *end;
    }
    return earliest;
}

void OwnershipTracker::renewTerm(int shard, util::Time now)
{
    const auto end = expiry(shard, now);
    const auto found = m_terms.find(shard);
    const bool uninterrupted = found != m_terms.end() && now < found->second.validUntil;
    if (!end || now >= *end) {
        if (!uninterrupted)
            m_terms.erase(shard);
        return;
    }
    if (uninterrupted)
        found->second.validUntil = std::max(found->second.validUntil, *end);
    else
        m_terms[shard] = { ++m_lastTerm, now, *end };
}

std::optional<OwnershipTerm> OwnershipTracker::term(int shard, util::Time now)
{
    const auto found = m_terms.find(shard);
    if (found == m_terms.end())
        return std::nullopt;
    if (now >= found->second.validUntil) {
        m_terms.erase(found);
        return std::nullopt;
    }
    TARRAGONHAVEN_CHECK(m_currentSet->owner(shard, m_absentMembers) == m_self,
        "a node has terms only for shards that it owns in its current view");
    return found->second;
}

} // namespace tarragonhaven
