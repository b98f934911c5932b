#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// An idempotency key that the system issued. It names its issuer, one incarnation of one node, which alone
// records what became of the request; so there is never a second recorder, and when the incarnation is gone,
// what it knew is known to be lost. The code makes it worthless to any organisation but the one that it was
// issued to.
//
// The text is "INSTANCE.INCARNATION.SECOND.NUMBER.CODE": the numbers in hexadecimal, the second of issue on
// the issuer's boot clock, the code 16 digits of an HMAC under a secret of the incarnation.
struct IdempotencyKey {
    InstanceName issuer;
    std::uint64_t incarnation = 0;
    std::uint64_t issuedSecond = 0;
    std::uint64_t number = 0;
    std::string mac;

    friend auto operator<=>(const IdempotencyKey&, const IdempotencyKey&) = default;
    friend bool operator==(const IdempotencyKey&, const IdempotencyKey&) = default;
};

// Returns nothing for a text of another form.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text);
std::string toString(const IdempotencyKey& key);

// The second of issue that a key carries.
std::uint64_t idempotencyKeySecond(util::Time now);

// The code of a key for an organisation.
std::string idempotencyKeyMac(
    const std::string& secret, const IdempotencyKey& key, const OrganisationName& organisation);

} // namespace tarragonhaven
