#include "tarragonhaven/http_fields.h"

#include "util/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace tarragonhaven {

bool isToken(std::string_view text)
{
    static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return absl::ascii_isalnum(character)
            || punctuation.find(static_cast<char>(character)) != std::string_view::npos;
    });
}

bool sameFieldName(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(util::toAbsl(left), util::toAbsl(right));
}

bool isHopByHop(std::string_view name, std::string_view connectionValue)
{
    static constexpr std::array<std::string_view, 12> always { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Content-Length", "Expect", "Host" };
    const auto matches = [name](std::string_view other) { return sameFieldName(name, other); };
    if (std::any_of(always.begin(), always.end(), matches))
        return true;
    for (const auto item : absl::StrSplit(util::toAbsl(connectionValue), ',')) {
        if (matches(util::toStd(absl::StripAsciiWhitespace(item))))
            return true;
    }
    return false;
}

std::string_view fieldValue(const std::vector<HeaderField>& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(),
        [name](const HeaderField& field) { return sameFieldName(field.name, name); });
    return found == fields.end() ? std::string_view {} : std::string_view(found->value);
}

} // namespace tarragonhaven
