#pragma once

#include "tarragonhaven/names.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace tarragonhaven {

// Ownership is decided for shards of organisations. The number of an organisation's shard never changes.
inline constexpr int ownershipShards = 256;

// The most members that a set may have, so that a subset fits into a word.
inline constexpr std::size_t maximumMembers = 64;

// A subset of a member set: bit i stands for its i-th member.
using MemberMask = std::uint64_t;

// The shard of an organisation, from 0 to ownershipShards - 1.
int ownershipShardOf(const OrganisationName& organisation);

// The instances among which shards are spread, and for each shard the order in which they are called to own
// it: a function of the members alone.
class MemberSet {
public:
    MemberSet() = default;
    explicit MemberSet(std::vector<InstanceName> members);

    // Names the set in messages; equal for equal members, in any order.
    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] const std::vector<InstanceName>& members() const { return m_members; }
    // The first member in a shard's order that is not absent; the first of all when every member is.
    [[nodiscard]] const InstanceName& owner(int shard, MemberMask absent = 0) const;
    // All members in a shard's order.
    [[nodiscard]] std::vector<InstanceName> ownerOrder(int shard) const;
    [[nodiscard]] bool empty() const { return m_members.empty(); }
    // The smallest number of members that is more than half.
    [[nodiscard]] std::size_t majority() const { return m_members.size() / 2 + 1; }

private:
    std::vector<InstanceName> m_members;
    // For each shard the indices of the members in order, one shard after another.
    std::vector<std::uint8_t> m_order;
    std::uint64_t m_id = 0;
};

} // namespace tarragonhaven
