// The fingerprint is a part of a SHA-256 digest, so that no caller can make up a request with the fingerprint
// of another one, which would then be refused in its place.

#include "tarragonhaven/request_fingerprint.h"

#include "util/sha256.h"
#include "util/text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <string>

namespace tarragonhaven {

namespace {

    constexpr std::size_t fingerprintDigits = 16;
    constexpr int hexadecimal = 16;

} // namespace

RequestFingerprint fingerprintOf(const ServiceName& service, const OrganisationName& organisation,
    const RequestHead& head, std::string_view body)
{
    const bool covered = body.size() <= fingerprintBodyBytes;
    std::string text;
    for (const std::string_view part : { std::string_view(service.text), std::string_view(organisation.text),
             std::string_view(head.method), std::string_view(head.target) })
        absl::StrAppend(&text, part.size(), ":", util::toAbsl(part));
    absl::StrAppend(&text, covered ? -1 : head.contentLength, ":",
        util::toAbsl(body.substr(0, std::min(body.size(), fingerprintBodyBytes))));
    return { std::stoull(util::sha256Hex(text).substr(0, fingerprintDigits), nullptr, hexadecimal) };
}

std::string toString(RequestFingerprint fingerprint)
{
    return absl::StrCat(absl::Hex(fingerprint.value, absl::kZeroPad16));
}

} // namespace tarragonhaven
