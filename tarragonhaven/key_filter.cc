// Keys have a fixed prefix and length, so a linear scan finds them at any position. The text is scanned as it
// is, and again after each of two passes of percent-decoding, since a target may decode a text that an
// earlier hop has already decoded once.

#include "tarragonhaven/key_filter.h"

#include "tarragonhaven/http_fields.h"
#include "util/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>

namespace tarragonhaven {

namespace {

    constexpr int decodePasses = 2;
    constexpr std::size_t escapeLength = 3;

    bool startsWithKey(std::string_view text)
    {
        if (!absl::StartsWithIgnoreCase(util::toAbsl(text), util::toAbsl(keyPrefix))
            || text.size() < keyPrefix.size() + keyDigits)
            return false;
        const auto digits = text.substr(keyPrefix.size(), keyDigits);
        return digits.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
    }

    bool containsPlainKey(std::string_view text)
    {
        for (std::size_t at = 0; at + keyPrefix.size() + keyDigits <= text.size(); ++at) {
            if (startsWithKey(text.substr(at)))
                return true;
        }
        return false;
    }

    int hexValue(char digit)
    {
        if (absl::ascii_isdigit(static_cast<unsigned char>(digit)))
            return digit - '0';
        return absl::ascii_tolower(static_cast<unsigned char>(digit)) - 'a' + 10;
    }

    bool isEscape(std::string_view text)
    {
        return text.size() >= escapeLength && text[0] == '%'
            && absl::ascii_isxdigit(static_cast<unsigned char>(text[1]))
            && absl::ascii_isxdigit(static_cast<unsigned char>(text[2]));
    }

    std::string decodePercent(std::string_view text)
    {
        std::string decoded;
        while (!text.empty()) {
            const bool escape = isEscape(text);
            decoded.push_back(
                escape ? static_cast<char>(hexValue(text[1]) * 16 + hexValue(text[2])) : text[0]);
            text.remove_prefix(escape ? escapeLength : 1);
        }
        return decoded;
    }

    std::string_view keyFromField(const HeaderField& field, std::string_view scheme)
    {
        const auto value = util::toStd(absl::StripAsciiWhitespace(field.value));
        if (sameFieldName(field.name, "X-Api-Key"))
            return value;
        const auto space = value.find(' ');
        if (!sameFieldName(field.name, "Authorization") || space == std::string_view::npos
            || !absl::EqualsIgnoreCase(util::toAbsl(value.substr(0, space)), util::toAbsl(scheme)))
            return {};
        const auto credentials = value.substr(space + 1);
        return util::toStd(absl::StripAsciiWhitespace(util::toAbsl(credentials)));
    }

} // namespace

bool containsKey(std::string_view text)
{
    if (containsPlainKey(text))
        return true;
    std::string decoded(text);
    for (int pass = 0; pass < decodePasses; ++pass) {
        decoded = decodePercent(decoded);
        if (containsPlainKey(decoded))
            return true;
    }
    return false;
}

std::optional<PresentedKey> extractKey(RequestHead& head, std::string_view scheme)
{
    std::optional<PresentedKey> key;
    for (const auto& field : head.fields) {
        const auto candidate = keyFromField(field, scheme);
        if (!key && !candidate.empty())
            key = PresentedKey { std::string(candidate) };
    }
    std::erase_if(head.fields, [](const HeaderField& field) {
        const bool keyField
            = sameFieldName(field.name, "Authorization") || sameFieldName(field.name, "X-Api-Key");
        return keyField || containsKey(field.value) || containsKey(field.name);
    });
    return key;
}

} // namespace tarragonhaven
