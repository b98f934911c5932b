#include "util/sha256.h"

#include "util/check.h"

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>

namespace util {

namespace {

    std::string toHex(const unsigned char* bytes, std::size_t count)
    {
        return absl::BytesToHexString({ reinterpret_cast<const char*>(bytes), count });
    }

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    const int result = EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    TARRAGONHAVEN_CHECK(result == 1, "OpenSSL computes SHA-256 digests");
    return toHex(digest.data(), size);
}

std::string hmacSha256Hex(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(data.data());
    const unsigned char* result = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes,
        data.size(), digest.data(), &size);
    TARRAGONHAVEN_CHECK(result != nullptr, "OpenSSL computes HMAC-SHA-256 codes");
    return toHex(digest.data(), size);
}

std::string randomHex(int count)
{
    std::vector<unsigned char> bytes(static_cast<std::size_t>(count));
    const int result = RAND_bytes(bytes.data(), count);
    TARRAGONHAVEN_CHECK(result == 1, "the system's random number generator is available");
    return toHex(bytes.data(), bytes.size());
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace util
