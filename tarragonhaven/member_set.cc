// The order of owners is computed by rendezvous hashing when the set is constructed. This takes 256 hashes
// for each member.

#include "tarragonhaven/member_set.h"

#include "tarragonhaven/rendezvous.h"
#include "util/check.h"
#include "util/sha256.h"

#include <algorithm>
#include <string>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr std::size_t idDigits = 16;
    constexpr int hexadecimal = 16;

    std::uint64_t hashToNumber(const std::string& text)
    {
        return std::stoull(util::sha256Hex(text).substr(0, idDigits), nullptr, hexadecimal);
    }

} // namespace

int ownershipShardOf(const OrganisationName& organisation)
{
    return static_cast<int>(hashToNumber(organisation.text) % ownershipShards);
}

MemberSet::MemberSet(std::vector<InstanceName> members)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end());
    std::string names;
    for (const auto& member : m_members)
        names += std::to_string(member.text.size()) + ":" + member.text;
    m_id = hashToNumber(names);
    TARRAGONHAVEN_CHECK(m_members.size() <= maximumMembers,
        "a member set has at most 64 members, which the validation of declarations ensures");
    for (int shard = 0; shard < ownershipShards; ++shard) {
        std::vector<std::pair<std::uint64_t, std::uint8_t>> weighted;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const auto weight = rendezvousWeight("shard-" + std::to_string(shard), m_members[i].text);
            weighted.emplace_back(weight, static_cast<std::uint8_t>(i));
        }
        std::sort(weighted.begin(), weighted.end(), std::greater<>());
        for (const auto& item : weighted)
            m_order.push_back(item.second);
    }
}

const InstanceName& MemberSet::owner(int shard, MemberMask absent) const
{
    TARRAGONHAVEN_CHECK(!m_members.empty(), "owner() is only called for a member set that is not empty");
    const auto first = m_members.size() * static_cast<std::size_t>(shard);
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        const auto member = m_order.at(first + i);
        if ((absent >> member & 1) == 0)
            return m_members.at(member);
    }
    return m_members.at(m_order.at(first));
}

std::vector<InstanceName> MemberSet::ownerOrder(int shard) const
{
    std::vector<InstanceName> names;
    const auto first = m_members.size() * static_cast<std::size_t>(shard);
    for (std::size_t i = 0; i < m_members.size(); ++i)
        names.push_back(m_members.at(m_order.at(first + i)));
    return names;
}

} // namespace tarragonhaven
