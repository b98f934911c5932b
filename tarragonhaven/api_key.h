#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace tarragonhaven {

// The digest of a key that callers of an organisation present. Keys themselves are never stored.
struct ApiKey {
    // SHA-256 of the key, 64 lower-case hexadecimal digits.
    std::string sha256;
    // Seconds since 1970 after which the key is not accepted; 0 for no end.
    std::int64_t notAfter = 0;

    friend auto operator<=>(const ApiKey&, const ApiKey&) = default;
    friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

} // namespace tarragonhaven
