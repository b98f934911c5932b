#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// An idempotency key issued by this system. The key names its issuer, which is one incarnation of one node.
// Only that incarnation records the outcome of the request, so there is never a second recorder, and once the
// incarnation has ended its records are known to be lost. The message authentication code (MAC) makes the key
// invalid for every organisation except the one that it was issued to.
//
// The text form is "INSTANCE.INCARNATION.SECOND.NUMBER.MAC". The numbers are hexadecimal, SECOND is the time
// of issue on the issuer's boot clock, and MAC is the first 16 hexadecimal digits of an HMAC-SHA256 under a
// secret of the incarnation.
struct IdempotencyKey {
    InstanceName issuer;
    std::uint64_t incarnation = 0;
    std::uint64_t issuedSecond = 0;
    std::uint64_t number = 0;
    std::string mac;

    friend auto operator<=>(const IdempotencyKey&, const IdempotencyKey&) = default;
    friend bool operator==(const IdempotencyKey&, const IdempotencyKey&) = default;
};

// Returns nullopt if `text` does not have the form of a key. Does not verify the MAC.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text);
std::string toString(const IdempotencyKey& key);

// Returns the value of `issuedSecond` for a key that is issued at `now`.
std::uint64_t idempotencyKeySecond(util::Time now);

// Returns the MAC of `key` for an organisation. Ignores `key.mac`.
std::string idempotencyKeyMac(
    const std::string& secret, const IdempotencyKey& key, const OrganisationName& organisation);

} // namespace tarragonhaven
