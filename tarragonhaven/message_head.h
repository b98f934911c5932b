#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven {

// One field of an HTTP head. Names compare without case; the order of fields is kept.
struct HeaderField {
    std::string name;
    std::string value;
    MSGPACK_DEFINE_ARRAY(name, value);

    friend auto operator<=>(const HeaderField&, const HeaderField&) = default;
    friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

// The head of a request without hop-by-hop fields, framing fields and keys.
struct RequestHead {
    std::string method;
    // Path and query.
    std::string target;
    std::vector<HeaderField> fields;
    bool hasBody = false;
    // The length of the body in bytes; -1 when it is sent in chunks.
    std::int64_t contentLength = -1;
    // The Host field, sent on as it came; when empty, the target's address stands there.
    std::string host;
    MSGPACK_DEFINE_ARRAY(method, target, fields, hasBody, contentLength, host);

    friend auto operator<=>(const RequestHead&, const RequestHead&) = default;
    friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

// The head of an answer without hop-by-hop and framing fields.
struct ResponseHead {
    int status = 0;
    std::vector<HeaderField> fields;
    bool hasBody = false;
    // The length of the body in bytes; -1 when it is sent in chunks. For an answer without a body (HEAD, 304)
    // the length that the target named, or -1.
    std::int64_t contentLength = -1;
    MSGPACK_DEFINE_ARRAY(status, fields, hasBody, contentLength);

    friend auto operator<=>(const ResponseHead&, const ResponseHead&) = default;
    friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

// A piece of a body. `last` marks the proper end; a body without it was cut.
struct BodyChunk {
    std::string data;
    bool last = false;
    MSGPACK_DEFINE_ARRAY(data, last);

    friend auto operator<=>(const BodyChunk&, const BodyChunk&) = default;
    friend bool operator==(const BodyChunk&, const BodyChunk&) = default;
};

// The largest piece of a body that is held in memory for one request, in bytes.
inline constexpr std::size_t bodyChunkBytes = 16 * 1024;

} // namespace tarragonhaven
