#pragma once

#include <string>
#include <string_view>

namespace util {

// Returns the SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 of `data` with the key `secret` as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

// Returns `count` cryptographically random bytes from OpenSSL's generator, which the operating system's
// random source seeds, as lower-case hexadecimal digits.
std::string randomHex(int count);

// Returns whether two strings are equal, in time that depends on their lengths only. Use this to compare
// secrets.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace util
