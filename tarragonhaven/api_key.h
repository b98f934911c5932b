#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace tarragonhaven {

// An API key that callers of an organisation present. Only its digest is stored, never the key itself.
struct ApiKey {
    // SHA-256 digest of the key, as 64 lower-case hexadecimal digits.
    std::string sha256;
    // Unix time in seconds after which the key is rejected; 0 if the key does not expire.
    std::int64_t notAfter = 0;

    friend auto operator<=>(const ApiKey&, const ApiKey&) = default;
    friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

} // namespace tarragonhaven
