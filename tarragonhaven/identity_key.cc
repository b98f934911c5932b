#include "tarragonhaven/identity_key.h"

#include "util/sha256.h"
#include "util/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <vector>

namespace tarragonhaven {

namespace {

    constexpr std::size_t parts = 5;
    constexpr std::size_t codeDigits = 16;

    std::string withoutCode(const IdentityKey& key)
    {
        return absl::StrCat(key.issuer.text, ".", absl::Hex(key.incarnation), ".",
            absl::Hex(key.issuedSecond), ".", absl::Hex(key.number));
    }

    bool readHex(const std::string& text, std::uint64_t& number)
    {
        if (text.empty() || text.size() > codeDigits
            || text.find_first_not_of("0123456789abcdef") != std::string::npos)
            return false;
        number = std::stoull(text, nullptr, 16);
        return true;
    }

} // namespace

std::string toString(const IdentityKey& key) { return withoutCode(key) + "." + key.code; }

std::optional<IdentityKey> parseIdentityKey(std::string_view text)
{
    std::vector<std::string> pieces = absl::StrSplit(util::toAbsl(text), '.');
    if (pieces.size() < parts)
        return std::nullopt;
    // An instance's name may hold dots itself.
    const auto tail = pieces.size() - (parts - 1);
    IdentityKey key;
    for (std::size_t i = 0; i < tail; ++i)
        key.issuer.text += (i == 0 ? "" : ".") + pieces[i];
    key.code = pieces.back();
    const bool numbers = readHex(pieces[tail], key.incarnation) && readHex(pieces[tail + 1], key.issuedSecond)
        && readHex(pieces[tail + 2], key.number);
    if (key.issuer.text.empty() || !numbers || key.code.size() != codeDigits)
        return std::nullopt;
    return key;
}

std::uint64_t identitySecond(util::Time now)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
}

std::string identityCode(
    const std::string& secret, const IdentityKey& key, const OrganisationName& organisation)
{
    return util::hmacSha256Hex(secret, absl::StrCat(withoutCode(key), "|", organisation.text))
        .substr(0, codeDigits);
}

} // namespace tarragonhaven
