#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace tarragonhaven {

// What is limited over all nodes.
enum class QuotaKind {
    // Requests, by organisation.
    Requests = 0,
    // Second and further tries, by service; what is asked for are first tries.
    Retries = 1,
};

// What one node has admitted under a name in the window, and what was asked of it.
struct QuotaUsage {
    std::string name;
    std::uint32_t admitted = 0;
    std::uint32_t requested = 0;
    // Whether the node has run for less than the window, so that it does not know all that it admitted.
    bool recentlyStarted = false;
    MSGPACK_DEFINE_ARRAY(name, admitted, requested, recentlyStarted);

    friend auto operator<=>(const QuotaUsage&, const QuotaUsage&) = default;
    friend bool operator==(const QuotaUsage&, const QuotaUsage&) = default;
};

// The same of all nodes but the one that is told.
struct RemoteQuotaUsage {
    std::string name;
    std::uint32_t admitted = 0;
    std::uint32_t requested = 0;
    // The share of those that were asked of young nodes, from 0 to 1.
    double recentlyStartedShare = 0;
    MSGPACK_DEFINE_ARRAY(name, admitted, requested, recentlyStartedShare);

    friend auto operator<=>(const RemoteQuotaUsage&, const RemoteQuotaUsage&) = default;
    friend bool operator==(const RemoteQuotaUsage&, const RemoteQuotaUsage&) = default;
};

} // namespace tarragonhaven
