#include "tarragonhaven/pipelining/received_head.h"

#include "tarragonhaven/http_fields.h"

#include <string_view>

namespace tarragonhaven {

namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;

    constexpr std::size_t maximumTargetBytes = 8 * 1024;
    constexpr unsigned httpVersion11 = 11;

    std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    // Returns a refusal if the parser accepted the framing of the message but a target might interpret it
    // differently.
    std::optional<Refusal> findFramingError(const ReceivedMessage& message)
    {
        const auto makeRefusal = [](RefusalReason reason, const char* detail) {
            return Refusal { reason, RunState::NotRun, util::Duration {}, detail };
        };
        if (message.version() != httpVersion11)
            return makeRefusal(RefusalReason::VersionUnsupported, "only HTTP/1.1 is supported");
        if (message.count(http::field::host) != 1)
            return makeRefusal(RefusalReason::MalformedRequest, "a request must have exactly one Host field");
        if (message.count(http::field::transfer_encoding) > 1)
            return makeRefusal(RefusalReason::MalformedRequest, "more than one Transfer-Encoding field");
        const auto coding = message[http::field::transfer_encoding];
        if (!coding.empty() && !beast::iequals(coding, "chunked"))
            return makeRefusal(
                RefusalReason::MalformedRequest, "only the chunked transfer coding is supported");
        if (message.count(http::field::content_length) + message.count(http::field::transfer_encoding) > 1)
            return makeRefusal(
                RefusalReason::MalformedRequest, "more than one Content-Length or Transfer-Encoding field");
        if (message.target().empty() || message.target().front() != '/')
            return makeRefusal(RefusalReason::MalformedRequest, "the request target is not a path");
        if (message.target().size() > maximumTargetBytes)
            return makeRefusal(RefusalReason::HeaderTooLarge, "the request target exceeds 8192 bytes");
        return std::nullopt;
    }

} // namespace

RequestHead toRequestHead(const ReceivedMessage& message, bool hasBody, std::int64_t contentLength)
{
    RequestHead head;
    head.method = std::string(toView(message.method_string()));
    head.target = std::string(toView(message.target()));
    head.hasBody = hasBody;
    head.contentLength = contentLength;
    head.host = std::string(toView(message[http::field::host]));
    const auto connection = toView(message[http::field::connection]);
    for (const auto& field : message) {
        const auto name = toView(field.name_string());
        if (!isHopByHop(name, connection))
            head.fields.push_back({ std::string(name), std::string(toView(field.value())) });
    }
    return head;
}

ReceivedHead toReceivedHead(
    const ReceivedMessage& message, bool keepAlive, bool hasBody, std::int64_t contentLength)
{
    ReceivedHead received;
    received.refusal = findFramingError(message);
    received.keepAlive = keepAlive && !received.refusal;
    received.expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
    if (received.refusal) {
        received.head.method = std::string(toView(message.method_string()));
        received.head.hasBody = hasBody;
    } else {
        received.head = toRequestHead(message, hasBody, contentLength);
    }
    return received;
}

} // namespace tarragonhaven
