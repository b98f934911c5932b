#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

namespace tarragonhaven {

// Usage counts that nodes exchange to enforce limits over all nodes. Sent as msgpack arrays, so the order,
// the types and the numeric values of the fields are fixed.

// Packs the first `count` fields as an array. A receiver leaves fields that are missing at their defaults.
template <typename Packer, typename... Fields>
void packFirst(Packer& packer, std::size_t count, const Fields&... fields)
{
    packer.pack_array(static_cast<std::uint32_t>(count));
    std::size_t index = 0;
    ((index++ < count ? static_cast<void>(packer.pack(fields)) : static_cast<void>(0)), ...);
}

// Limits that are enforced over all nodes together.
enum class QuotaKind {
    // Requests, per organisation.
    Requests = 0,
    // Second and further attempts, per service. `requested` counts first attempts, because the limit on
    // retries is a share of these.
    Retries = 1,
};

// What one node admitted under one name within the window, and how much was requested of it. The name is that
// of an organisation or a service, depending on the QuotaKind.
struct QuotaUsage {
    std::string name;
    std::uint32_t admitted = 0;
    std::uint32_t requested = 0;
    // True while the node has run for less than the window. It does not know what it admitted in the window
    // before it restarted.
    bool recentlyStarted = false;
    // How many admissions the node asks for now, by rank. They are not part of `admitted`.
    std::map<int, std::uint32_t> waiting;
    // The part of `admitted` that no limit prevents.
    std::uint32_t unlimited = 0;

    template <typename Packer> void msgpack_pack(Packer& packer) const
    {
        const std::size_t count = unlimited > 0 ? 6 : !waiting.empty() ? 5 : recentlyStarted ? 4 : 3;
        packFirst(packer, count, name, admitted, requested, recentlyStarted, waiting, unlimited);
    }
    void msgpack_unpack(const msgpack::object& object)
    {
        msgpack::type::make_define_array(name, admitted, requested, recentlyStarted, waiting, unlimited)
            .msgpack_unpack(object);
    }

    // Returns whether the node had requests under the name within the window. A node that had none decides on
    // none, so it needs no reply to its report. It sends such reports only when it is queried.
    [[nodiscard]] bool hasRequests() const { return admitted > 0 || requested > 0 || !waiting.empty(); }

    friend auto operator<=>(const QuotaUsage&, const QuotaUsage&) = default;
    friend bool operator==(const QuotaUsage&, const QuotaUsage&) = default;
};

// The usage of all nodes together, except the node that receives it.
struct RemoteQuotaUsage {
    std::string name;
    std::uint32_t admitted = 0;
    std::uint32_t requested = 0;
    // The percentage of the limit that all nodes may use. Below 100 while a part may have been used by nodes
    // whose usage is not known.
    int limitPercent = 100;
    // How many admissions the report asked for, and how many of these are granted, the lowest ranks first.
    // They are not part of `admitted`.
    std::uint32_t asked = 0;
    std::uint32_t granted = 0;

    template <typename Packer> void msgpack_pack(Packer& packer) const
    {
        const std::size_t count = granted > 0 ? 6 : asked > 0 ? 5 : limitPercent != 100 ? 4 : 3;
        packFirst(packer, count, name, admitted, requested, limitPercent, asked, granted);
    }
    void msgpack_unpack(const msgpack::object& object)
    {
        msgpack::type::make_define_array(name, admitted, requested, limitPercent, asked, granted)
            .msgpack_unpack(object);
    }

    friend auto operator<=>(const RemoteQuotaUsage&, const RemoteQuotaUsage&) = default;
    friend bool operator==(const RemoteQuotaUsage&, const RemoteQuotaUsage&) = default;
};

} // namespace tarragonhaven
