// The request id is checked first: if it belongs to another request, nothing else in the response is trusted.
// A response without a request id is trusted only if it reports that the request did not run, since a target
// may say so before it has read the id, and if it is the first one on its connection. A later one may be an
// earlier report that the target has written once more, while it runs this request.

#include "tarragonhaven/response_check.h"

#include "tarragonhaven/http_fields.h"

namespace tarragonhaven {

namespace {

    constexpr int misdirectedStatus = 421;
    constexpr int firstSuccessStatus = 200;
    constexpr int firstRedirectStatus = 300;

    bool reportsNotRun(const ResponseHead& head, const HeaderNames& headerNames)
    {
        if (headerNames.notRun.empty())
            return false;
        return !fieldValue(head.fields, headerNames.notRun).empty()
            || (!headerNames.expectedTarget.empty() && head.status == misdirectedStatus);
    }

} // namespace

ResponseCheck checkResponse(
    const ResponseHead& head, const std::string& requestId, const HeaderNames& headerNames, ConnectionUse use)
{
    const auto id = headerNames.requestId.empty() ? std::string_view(requestId)
                                                  : fieldValue(head.fields, headerNames.requestId);
    if (!id.empty() && id != requestId)
        return { ResponseVerdict::Mismatched, "response belongs to another request", false };
    if (reportsNotRun(head, headerNames) && (!id.empty() || use == ConnectionUse::First)) {
        const bool misdirected = head.status == misdirectedStatus;
        return { ResponseVerdict::NotRun,
            misdirected ? "another target listens on this address (status 421)"
                        : "target reports that it did not run the request",
            !misdirected };
    }
    if (id.empty())
        return { ResponseVerdict::Invalid, "response lacks the request id", false };
    const bool success = head.status >= firstSuccessStatus && head.status < firstRedirectStatus;
    if (!success || headerNames.signature.empty())
        return {};
    if (fieldValue(head.fields, headerNames.signature).empty())
        return { ResponseVerdict::Invalid, "successful response lacks the target's signature", false };
    if (!fieldValue(head.fields, "Content-Encoding").empty())
        return { ResponseVerdict::Invalid,
            "successful response has a content encoding that was not requested" };
    return {};
}

} // namespace tarragonhaven
