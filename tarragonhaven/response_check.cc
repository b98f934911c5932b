// The id is looked at first: of an answer to another request nothing else is believed. An answer without an
// id is believed only where it says that nothing ran, which a target may say before it has read the id.

#include "tarragonhaven/response_check.h"

#include "tarragonhaven/http_fields.h"

namespace tarragonhaven {

namespace {

    constexpr int misdirectedStatus = 421;
    constexpr int firstSuccessStatus = 200;
    constexpr int firstRedirectStatus = 300;

    bool reportsNotRun(const ResponseHead& head, const HttpDialect& headerNames)
    {
        if (headerNames.notRun.empty())
            return false;
        return !fieldValue(head.fields, headerNames.notRun).empty()
            || (!headerNames.expectedTarget.empty() && head.status == misdirectedStatus);
    }

} // namespace

ResponseCheck checkResponse(
    const ResponseHead& head, const std::string& requestId, const HttpDialect& headerNames)
{
    const auto id = headerNames.requestId.empty() ? std::string_view(requestId)
                                                  : fieldValue(head.fields, headerNames.requestId);
    if (!id.empty() && id != requestId)
        return { ResponseVerdict::Mismatched, "an answer to another request" };
    if (reportsNotRun(head, headerNames))
        return { ResponseVerdict::NotRun,
            head.status == misdirectedStatus ? "another target has the address"
                                             : "the target did not run it" };
    if (id.empty())
        return { ResponseVerdict::Invalid, "an answer without the request's id" };
    const bool success = head.status >= firstSuccessStatus && head.status < firstRedirectStatus;
    if (!success || headerNames.signature.empty())
        return {};
    if (fieldValue(head.fields, headerNames.signature).empty())
        return { ResponseVerdict::Invalid, "a success without the target's signature" };
    if (!fieldValue(head.fields, "Content-Encoding").empty())
        return { ResponseVerdict::Invalid, "a success in an encoding that nobody asked for" };
    return {};
}

} // namespace tarragonhaven
