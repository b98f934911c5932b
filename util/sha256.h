#pragma once

#include <string>
#include <string_view>

namespace util {

// The SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// The HMAC-SHA-256 of `data` under `secret` as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

// `count` bytes from the operating system's random source, as lower-case hexadecimal digits.
std::string randomHex(int count);

// Compares two strings in time that depends on their length only.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace util
