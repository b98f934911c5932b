// A frame is the msgpack array [kind, payload], where kind is the index of the payload's type in PeerFrame.
// The decoder limits the length of arrays and the nesting depth of the objects that it builds; strings and
// binary values are limited to the size of the largest frame.

#include "tarragonhaven/peer_frame.h"

#include "tarragonhaven/http_fields.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumArrayItems = 4096;
    constexpr std::size_t maximumDepth = 8;
    constexpr std::size_t frameArraySize = 2;
    constexpr unsigned bitsPerByte = 8;
    // The lowest status of a final response.
    constexpr int minimumStatus = 200;
    constexpr int maximumStatus = 999;

    msgpack::unpack_limit unpackLimit()
    {
        return { maximumArrayItems, 0, maximumFrameBytes, maximumFrameBytes, 0, maximumDepth };
    }

    // Returns whether a field can be written as a line of an HTTP head, and is read as the same field again.
    // Beast throws if it cannot store the field, and does not check its characters.
    bool canBeWritten(const HeaderField& field)
    {
        constexpr std::string_view breakingCharacters("\r\n\0", 3);
        return isToken(field.name) && field.name.size() <= maximumFieldBytes
            && field.value.size() <= maximumFieldBytes
            && field.value.find_first_of(breakingCharacters) == std::string::npos;
    }

    // Returns whether the head can be written as an HTTP message.
    template <typename Head> bool canBeWritten(const Head& head)
    {
        if constexpr (std::is_same_v<Head, ResponseHead>) {
            if (head.status < minimumStatus || head.status > maximumStatus)
                return false;
        }
        return std::all_of(head.fields.begin(), head.fields.end(),
            [](const HeaderField& field) { return canBeWritten(field); });
    }

    template <typename Frame> std::optional<PeerFrame> checkedFrame(Frame frame)
    {
        if constexpr (requires { frame.head; }) {
            if (!canBeWritten(frame.head))
                return std::nullopt;
        }
        return PeerFrame(std::move(frame));
    }

    template <std::size_t Kind = 0>
    std::optional<PeerFrame> decodePayload(std::size_t kind, const msgpack::object& payload)
    {
        if constexpr (Kind < std::variant_size_v<PeerFrame>) {
            if (kind == Kind)
                return checkedFrame(payload.as<std::variant_alternative_t<Kind, PeerFrame>>());
            return decodePayload<Kind + 1>(kind, payload);
        }
        return std::nullopt;
    }

} // namespace

std::string encodeFrame(const PeerFrame& frame)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(frameArraySize);
    packer.pack(static_cast<std::uint32_t>(frame.index()));
    std::visit([&packer](const auto& payload) { packer.pack(payload); }, frame);
    std::string bytes;
    bytes.reserve(frameLengthBytes + buffer.size());
    for (std::size_t i = frameLengthBytes; i > 0; --i)
        bytes.push_back(static_cast<char>((buffer.size() >> (bitsPerByte * (i - 1))) & 0xff));
    bytes.append(buffer.data(), buffer.size());
    return bytes;
}

std::optional<PeerFrame> decodeFrame(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimit());
        const auto& object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != frameArraySize)
            return std::nullopt;
        return decodePayload(object.via.array.ptr[0].as<std::uint32_t>(), object.via.array.ptr[1]);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::size_t> decodeFrameLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameLengthBytes; ++i)
        length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    if (length == 0 || length > maximumFrameBytes)
        return std::nullopt;
    return length;
}

RefusedFrame toRefusedFrame(const std::string& requestId, const Refusal& refusal, const TargetReport& report)
{
    const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retryAfter);
    return { requestId, static_cast<int>(refusal.reason), static_cast<int>(refusal.run), retryAfter.count(),
        refusal.detail, report };
}

std::optional<Refusal> toRefusal(const RefusedFrame& frame)
{
    const bool reasonKnown = frame.reason >= 0 && frame.reason < refusalReasonCount;
    const bool runKnown = frame.run >= 0 && frame.run <= static_cast<int>(RunState::Ran);
    if (!reasonKnown || !runKnown)
        return std::nullopt;
    return Refusal { static_cast<RefusalReason>(frame.reason), static_cast<RunState>(frame.run),
        std::chrono::milliseconds(frame.retryAfterMs), frame.detail };
}

} // namespace tarragonhaven
