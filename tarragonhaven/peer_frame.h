#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"
#include "tarragonhaven/request_fingerprint.h"
#include "tarragonhaven/target_report.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace tarragonhaven {

// The version of the protocol between nodes. A node closes a link to a peer of another version.
inline constexpr int peerProtocolVersion = 2;

// The first frame that each side sends on a link. It identifies the sender.
struct HelloFrame {
    int version = peerProtocolVersion;
    std::string fleet;
    std::string instance;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE_ARRAY(version, fleet, instance, incarnation);

    friend bool operator==(const HelloFrame&, const HelloFrame&) = default;
};

// A request of an entry node to a guard node to run an HTTP request on one of its targets. A request
// without a body starts as soon as a slot is free; a request with a body starts with its first BodyFrame.
struct OpenFrame {
    std::string requestId;
    std::string organisation;
    std::string target;
    bool idempotent = false;
    // The time from the sending of the frame to the deadline, in microseconds.
    std::int64_t remainingUs = 0;
    RequestHead head;
    std::string callerService;
    // The order in which requests get a slot; the lowest goes first.
    int rank = 0;
    // Whether the request may wait for a slot; otherwise it is refused at once if no slot is free.
    bool mayQueue = true;
    // Whether the deadline applies to the complete response, or only to its head.
    bool deadlineCoversBody = false;
    // The queue timeout in microseconds; 0 if the request may wait in a queue until the deadline.
    std::int64_t queueTimeoutUs = 0;
    // Whether the request bypasses the breaker of the target.
    bool bypassesBreaker = false;
    // The target's limit in requests per second, if the entry node knows one.
    std::optional<double> knownTargetLimit;
    RequestFingerprint fingerprint;
    // Whether another attempt of the request has reached a target.
    bool repeat = false;
    MSGPACK_DEFINE_ARRAY(requestId, organisation, target, idempotent, remainingUs, head, callerService, rank,
        mayQueue, deadlineCoversBody, queueTimeoutUs, bypassesBreaker, knownTargetLimit, fingerprint, repeat);

    friend bool operator==(const OpenFrame&, const OpenFrame&) = default;
};

// Sent by the guard node when it has a slot and a connection for a request that has a body.
struct OpenedFrame {
    std::string requestId;
    MSGPACK_DEFINE_ARRAY(requestId);

    friend bool operator==(const OpenedFrame&, const OpenedFrame&) = default;
};

// The request was refused without a response, or its response is cut off at this point.
struct RefusedFrame {
    std::string requestId;
    // Numeric values of RefusalReason and RunState.
    int reason = 0;
    int run = 0;
    std::int64_t retryAfterMs = 0;
    std::string detail;
    TargetReport report;
    MSGPACK_DEFINE_ARRAY(requestId, reason, run, retryAfterMs, detail, report);

    friend bool operator==(const RefusedFrame&, const RefusedFrame&) = default;
};

// A chunk of a request or response body.
struct BodyFrame {
    std::string requestId;
    BodyChunk chunk;
    MSGPACK_DEFINE_ARRAY(requestId, chunk);

    friend bool operator==(const BodyFrame&, const BodyFrame&) = default;
};

// The head of the target's response.
struct ResponseFrame {
    std::string requestId;
    ResponseHead head;
    TargetReport report;
    MSGPACK_DEFINE_ARRAY(requestId, head, report);

    friend bool operator==(const ResponseFrame&, const ResponseFrame&) = default;
};

// Requests a published value from a peer, at the revision that the peer holds.
struct ValueRequestFrame {
    std::string name;
    MSGPACK_DEFINE_ARRAY(name);

    friend bool operator==(const ValueRequestFrame&, const ValueRequestFrame&) = default;
};

// The reply to a ValueRequestFrame. `revision` is the revision of the index; `found` is false if the peer
// does not hold the value.
struct ValueFrame {
    std::string name;
    bool found = false;
    std::uint64_t revision = 0;
    std::string content;
    MSGPACK_DEFINE_ARRAY(name, found, revision, content);

    friend bool operator==(const ValueFrame&, const ValueFrame&) = default;
};

// Announces that the sender is stopping. The sender completes the requests that were sent before; the
// receiver sends no new requests on this link.
struct GoodbyeFrame {
    bool stopping = true;
    MSGPACK_DEFINE_ARRAY(stopping);

    friend bool operator==(const GoodbyeFrame&, const GoodbyeFrame&) = default;
};

using PeerFrame = std::variant<HelloFrame, OpenFrame, OpenedFrame, RefusedFrame, BodyFrame, ResponseFrame,
    ValueRequestFrame, ValueFrame, GoodbyeFrame>;

// The largest frame on a link, in bytes, without its length prefix.
inline constexpr std::size_t maximumFrameBytes = 1'200'000;
// The size of the length prefix of a frame, in bytes. The most significant byte comes first.
inline constexpr std::size_t frameLengthBytes = 4;

// Encodes a frame with its length prefix.
std::string encodeFrame(const PeerFrame& frame);
// Decodes a frame without its length prefix. Returns nothing if `bytes` are not a frame of this version.
std::optional<PeerFrame> decodeFrame(std::string_view bytes);
// Decodes the length prefix of a frame. Returns nothing if the length is zero or above maximumFrameBytes.
std::optional<std::size_t> decodeFrameLength(std::string_view bytes);

RefusedFrame toRefusedFrame(const std::string& requestId, const Refusal& refusal, const TargetReport& report);
// Returns nothing if the reason or the run state of the frame is unknown in this version.
std::optional<Refusal> toRefusal(const RefusedFrame& frame);

} // namespace tarragonhaven
