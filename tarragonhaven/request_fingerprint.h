#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/names.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace tarragonhaven {

// Identifies a request that its caller sends again: the same organisation sends the same method, path, query
// and body to the same service. Header fields do not count: ids of requests differ each time, and names of
// hosts from node to node. Zero stands for a request that cannot be recognised. All nodes compute the same
// value.
struct RequestFingerprint {
    std::uint64_t value = 0;
    MSGPACK_DEFINE_ARRAY(value);

    [[nodiscard]] bool known() const { return value != 0; }

    friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) = default;
    friend bool operator==(const RequestFingerprint&, const RequestFingerprint&) = default;
};

// The part of a body that a fingerprint covers, in bytes. Of a longer body it covers the announced length
// besides.
inline constexpr std::size_t fingerprintBodyBytes = 64 * 1024;

// Returns the fingerprint of a request. `body` is the whole body, or at least its first fingerprintBodyBytes
// bytes.
RequestFingerprint fingerprintOf(const ServiceName& service, const OrganisationName& organisation,
    const RequestHead& head, std::string_view body);

// Returns the fingerprint as 16 hexadecimal digits, for logs.
std::string toString(RequestFingerprint fingerprint);

} // namespace tarragonhaven
