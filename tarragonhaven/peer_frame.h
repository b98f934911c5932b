#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"
#include "tarragonhaven/target_report.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace tarragonhaven {

// The version of the frames between nodes. A node closes a link whose other end speaks another one.
inline constexpr int peerProtocolVersion = 2;

// The first frame on a link, from each side: who speaks.
struct HelloFrame {
    int version = peerProtocolVersion;
    std::string fleet;
    std::string instance;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE_ARRAY(version, fleet, instance, incarnation);

    friend bool operator==(const HelloFrame&, const HelloFrame&) = default;
};

// An entry asks a guard to run a request on one of its targets. A request without a body starts as soon as a
// slot is free; one with a body starts with its first BodyFrame.
struct OpenFrame {
    std::string requestId;
    std::string organisation;
    std::string target;
    bool idempotent = false;
    // The rest of the deadline when the frame was sent, in microseconds.
    std::int64_t remainingUs = 0;
    RequestHead head;
    std::string callerService;
    int rank = 0;
    bool mayQueue = true;
    bool deadlineCoversBody = false;
    // How long an answer is worth waiting for in a queue, in microseconds; 0 for as long as the deadline.
    std::int64_t queueTimeoutUs = 0;
    bool bypassesBreaker = false;
    MSGPACK_DEFINE_ARRAY(requestId, organisation, target, idempotent, remainingUs, head, callerService, rank,
        mayQueue, deadlineCoversBody, queueTimeoutUs, bypassesBreaker);

    friend bool operator==(const OpenFrame&, const OpenFrame&) = default;
};

// The guard has a slot and a connection for the request.
struct OpenedFrame {
    std::string requestId;
    MSGPACK_DEFINE_ARRAY(requestId);

    friend bool operator==(const OpenedFrame&, const OpenedFrame&) = default;
};

// The request got no answer, or its answer ends here unfinished.
struct RefusedFrame {
    std::string requestId;
    int reason = 0;
    int run = 0;
    std::int64_t retryAfterMs = 0;
    std::string detail;
    TargetReport report;
    MSGPACK_DEFINE_ARRAY(requestId, reason, run, retryAfterMs, detail, report);

    friend bool operator==(const RefusedFrame&, const RefusedFrame&) = default;
};

// A piece of a body, in either direction.
struct BodyFrame {
    std::string requestId;
    BodyChunk chunk;
    MSGPACK_DEFINE_ARRAY(requestId, chunk);

    friend bool operator==(const BodyFrame&, const BodyFrame&) = default;
};

// The head of the target's answer.
struct ResponseFrame {
    std::string requestId;
    ResponseHead head;
    TargetReport report;
    MSGPACK_DEFINE_ARRAY(requestId, head, report);

    friend bool operator==(const ResponseFrame&, const ResponseFrame&) = default;
};

// Asks a peer for a published value at the revision that it holds.
struct ValueRequestFrame {
    std::string name;
    MSGPACK_DEFINE_ARRAY(name);

    friend bool operator==(const ValueRequestFrame&, const ValueRequestFrame&) = default;
};

// A published value. `revision` is that of the index; `found` is false when the peer does not hold it.
struct ValueFrame {
    std::string name;
    bool found = false;
    std::uint64_t revision = 0;
    std::string content;
    MSGPACK_DEFINE_ARRAY(name, found, revision, content);

    friend bool operator==(const ValueFrame&, const ValueFrame&) = default;
};

// The sender is stopping: it answers what was sent before, and the receiver opens nothing more on this link.
struct GoodbyeFrame {
    bool stopping = true;
    MSGPACK_DEFINE_ARRAY(stopping);

    friend bool operator==(const GoodbyeFrame&, const GoodbyeFrame&) = default;
};

using PeerFrame = std::variant<HelloFrame, OpenFrame, OpenedFrame, RefusedFrame, BodyFrame, ResponseFrame,
    ValueRequestFrame, ValueFrame, GoodbyeFrame>;

// The largest frame on a link, in bytes, without the length in front.
inline constexpr std::size_t maximumFrameBytes = 1'200'000;
// The length of a frame goes before it as this many bytes, most significant first.
inline constexpr std::size_t frameLengthBytes = 4;

// The bytes of a frame, its length in front.
std::string encodeFrame(const PeerFrame& frame);
// Reads a frame without its length. Returns nothing for bytes that are no frame of this version.
std::optional<PeerFrame> decodeFrame(std::string_view bytes);
// Reads the length in front of a frame. Returns nothing for a length of zero or above maximumFrameBytes.
std::optional<std::size_t> decodeFrameLength(std::string_view bytes);

RefusedFrame toRefusedFrame(const std::string& requestId, const Refusal& refusal, const TargetReport& report);
// Returns nothing when the frame's numbers are not of this version.
std::optional<Refusal> toRefusal(const RefusedFrame& frame);

} // namespace tarragonhaven
