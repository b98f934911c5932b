#pragma once

#include "tarragonhaven/names.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace tarragonhaven {

// Number of shards that organisations are divided into. Ownership is decided per shard, and the shard of an
// organisation never changes.
inline constexpr int ownershipShards = 256;

// Maximum number of members of a set, so that a subset fits into a MemberMask.
inline constexpr std::size_t maximumMembers = 64;

// A subset of a member set. Bit i stands for the i-th member.
using MemberMask = std::uint64_t;

// Returns the shard of an organisation, from 0 to ownershipShards - 1.
int ownershipShardOf(const OrganisationName& organisation);

// The instances that the ownership of shards is distributed among. For each shard the members have an order
// of preference as owners, which depends on the names of the members alone. Immutable. Construction fails a
// check for more than maximumMembers members.
class MemberSet {
public:
    MemberSet() = default;
    explicit MemberSet(std::vector<InstanceName> members);

    // Identifies the set in messages. Sets with the same members have the same id, whatever the order in
    // which the members were given.
    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] const std::vector<InstanceName>& members() const { return m_members; }
    // Returns the first member in the shard's order that is not absent, or the first one if all are absent.
    // The set must not be empty.
    [[nodiscard]] const InstanceName& owner(int shard, MemberMask absent = 0) const;
    // Returns all members in the shard's order of preference.
    [[nodiscard]] std::vector<InstanceName> ownerOrder(int shard) const;
    [[nodiscard]] bool empty() const { return m_members.empty(); }
    // Returns the smallest number of members that is more than half of all.
    [[nodiscard]] std::size_t majority() const { return m_members.size() / 2 + 1; }

private:
    std::vector<InstanceName> m_members;
    // For each shard the indexes of the members in order of preference, one shard after another.
    std::vector<std::uint8_t> m_order;
    std::uint64_t m_id = 0;
};

} // namespace tarragonhaven
