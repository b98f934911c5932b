#include "tarragonhaven/pipelining/refusal_response.h"

#include <absl/strings/str_format.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace tarragonhaven {

namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;

    constexpr unsigned httpVersion11 = 11;

    beast::string_view toBeast(std::string_view text) { return { text.data(), text.size() }; }

    std::int64_t retryAfterSeconds(util::Duration retryAfter)
    {
        return static_cast<std::int64_t>(std::ceil(util::toSeconds(retryAfter)));
    }

    // Returns the value of a Retry-After field in seconds, with a fraction if the caller supports one.
    std::string retryAfterText(util::Duration retryAfter, bool allowFraction)
    {
        if (!allowFraction)
            return std::to_string(retryAfterSeconds(retryAfter));
        return absl::StrFormat("%.2f", util::toSeconds(retryAfter));
    }

    std::string refusalBody(const Refusal& refusal, const std::string& requestId)
    {
        nlohmann::ordered_json body;
        body["refusal"] = { { "reason", toString(refusal.reason) }, { "run", toString(refusal.run) },
            { "detail", refusal.detail }, { "request", requestId },
            { "retryAfterSeconds", retryAfterSeconds(refusal.retryAfter) } };
        return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }

} // namespace

http::response<http::string_body> toResponse(
    const Refusal& refusal, const RefusalResponseContext& context, const HeaderNames& headerNames)
{
    http::response<http::string_body> response;
    response.version(httpVersion11);
    const bool strict = headerNames.strictRefusals;
    response.result(static_cast<unsigned>(strict ? strictHttpStatus(refusal) : httpStatus(refusal.reason)));
    if (!headerNames.requestId.empty())
        response.set(headerNames.requestId, context.requestId);
    response.set(http::field::content_type, "application/json");
    response.set("Tarragonhaven-Request", context.requestId);
    response.set("Tarragonhaven-Refusal", toBeast(toString(refusal.reason)));
    response.set("Tarragonhaven-Run", toBeast(toString(refusal.run)));
    if (refusal.retryAfter > util::Duration {})
        response.set(http::field::retry_after, retryAfterText(refusal.retryAfter, strict));
    if (!context.nextIdempotencyKey.empty())
        response.set("Tarragonhaven-Next-Idempotency-Key", context.nextIdempotencyKey);
    response.keep_alive(context.keepAlive);
    if (!context.headOnly)
        response.body() = refusalBody(refusal, context.requestId);
    response.prepare_payload();
    return response;
}

} // namespace tarragonhaven
