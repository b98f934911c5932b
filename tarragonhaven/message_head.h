#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven {

// One header field of an HTTP message. Field names are case-insensitive; the order of fields is preserved.
struct HeaderField {
    std::string name;
    std::string value;
    MSGPACK_DEFINE_ARRAY(name, value);

    friend auto operator<=>(const HeaderField&, const HeaderField&) = default;
    friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

// The head of a request, without hop-by-hop fields, framing fields and keys.
struct RequestHead {
    std::string method;
    // The path and query.
    std::string target;
    std::vector<HeaderField> fields;
    bool hasBody = false;
    // The length of the body in bytes; -1 if the body is sent in chunks.
    std::int64_t contentLength = -1;
    // The Host field, forwarded unchanged. If empty, the Host field contains the target's address.
    std::string host;
    MSGPACK_DEFINE_ARRAY(method, target, fields, hasBody, contentLength, host);

    friend auto operator<=>(const RequestHead&, const RequestHead&) = default;
    friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

// The head of a response, without hop-by-hop and framing fields.
struct ResponseHead {
    int status = 0;
    std::vector<HeaderField> fields;
    bool hasBody = false;
    // The length of the body in bytes; -1 if the body is sent in chunks. For a response without a body (to
    // HEAD, or status 304), the length that the target declared, or -1.
    std::int64_t contentLength = -1;
    MSGPACK_DEFINE_ARRAY(status, fields, hasBody, contentLength);

    friend auto operator<=>(const ResponseHead&, const ResponseHead&) = default;
    friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

// A part of a body. `last` marks the regular end; a body that ends without a last chunk was truncated.
struct BodyChunk {
    std::string data;
    bool last = false;
    MSGPACK_DEFINE_ARRAY(data, last);

    friend auto operator<=>(const BodyChunk&, const BodyChunk&) = default;
    friend bool operator==(const BodyChunk&, const BodyChunk&) = default;
};

// The maximum size in bytes of the name and of the value of a header field. Beast, which stores fields of
// messages that are read or written, throws std::length_error above it.
inline constexpr std::size_t maximumFieldBytes = 65'533;

// The maximum size in bytes of a body chunk that is held in memory for one request.
inline constexpr std::size_t bodyChunkBytes = 16 * 1024;

} // namespace tarragonhaven
