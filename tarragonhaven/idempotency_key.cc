#include "tarragonhaven/idempotency_key.h"

#include "util/sha256.h"
#include "util/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <vector>

namespace tarragonhaven {

namespace {

    constexpr std::size_t keyFields = 5;
    constexpr std::size_t macDigits = 16;

    std::string textWithoutMac(const IdempotencyKey& key)
    {
        return absl::StrCat(key.issuer.text, ".", absl::Hex(key.incarnation), ".",
            absl::Hex(key.issuedSecond), ".", absl::Hex(key.number));
    }

    bool readHex(const std::string& text, std::uint64_t& number)
    {
        if (text.empty() || text.size() > macDigits
            || text.find_first_not_of("0123456789abcdef") != std::string::npos)
            return false;
        number = std::stoull(text, nullptr, 16);
        return true;
    }

} // namespace

std::string toString(const IdempotencyKey& key) { return textWithoutMac(key) + "." + key.mac; }

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text)
{
    std::vector<std::string> fields = absl::StrSplit(util::toAbsl(text), '.');
    if (fields.size() < keyFields)
        return std::nullopt;
    // The name of the instance may itself contain dots, so the numbers and the MAC are the last four fields.
    const auto firstNumber = fields.size() - (keyFields - 1);
    IdempotencyKey key;
    for (std::size_t i = 0; i < firstNumber; ++i)
        key.issuer.text += (i == 0 ? "" : ".") + fields[i];
    key.mac = fields.back();
    const bool numbers = readHex(fields[firstNumber], key.incarnation)
        && readHex(fields[firstNumber + 1], key.issuedSecond) && readHex(fields[firstNumber + 2], key.number);
    if (key.issuer.text.empty() || !numbers || key.mac.size() != macDigits)
        return std::nullopt;
    return key;
}

std::uint64_t idempotencyKeySecond(util::Time now)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
}

std::string idempotencyKeyMac(
    const std::string& secret, const IdempotencyKey& key, const OrganisationName& organisation)
{
    return util::hmacSha256Hex(secret, absl::StrCat(textWithoutMac(key), "|", organisation.text))
        .substr(0, macDigits);
}

} // namespace tarragonhaven
