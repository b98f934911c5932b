// A datagram is the msgpack array [version, fleet, instance, incarnation, kind, payload].

#include "tarragonhaven/control_message.h"

namespace tarragonhaven {

namespace {

    constexpr int controlVersion = 1;
    constexpr std::size_t envelopeFields = 6;
    // Limits on the arrays and the nesting of a received message.
    constexpr std::size_t maximumItems = 512;
    // Above the number of ranks that a fleet uses (QuotaUsage::waiting).
    constexpr std::size_t maximumMapItems = 64;
    constexpr std::size_t maximumDepth = 6;

    template <std::size_t Kind = 0>
    std::optional<ControlMessage> decodePayload(std::size_t kind, const msgpack::object& payload)
    {
        if constexpr (Kind < std::variant_size_v<ControlMessage>) {
            if (kind == Kind)
                return ControlMessage(payload.as<std::variant_alternative_t<Kind, ControlMessage>>());
            return decodePayload<Kind + 1>(kind, payload);
        }
        return std::nullopt;
    }

    std::optional<ControlEnvelope> decodeEnvelope(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != envelopeFields)
            return std::nullopt;
        const auto* fields = object.via.array.ptr;
        if (fields[0].as<int>() != controlVersion)
            return std::nullopt;
        auto message = decodePayload(fields[4].as<std::uint32_t>(), fields[5]);
        if (!message)
            return std::nullopt;
        return ControlEnvelope { fields[1].as<std::string>(), { fields[2].as<std::string>() },
            fields[3].as<std::uint64_t>(), std::move(*message) };
    }

} // namespace

std::string encodeControl(const ControlEnvelope& envelope)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(envelopeFields);
    packer.pack(controlVersion);
    packer.pack(envelope.fleet);
    packer.pack(envelope.from.text);
    packer.pack(envelope.incarnation);
    packer.pack(static_cast<std::uint32_t>(envelope.message.index()));
    std::visit([&packer](const auto& payload) { packer.pack(payload); }, envelope.message);
    return { buffer.data(), buffer.size() };
}

std::optional<ControlEnvelope> decodeControl(std::string_view bytes)
{
    const msgpack::unpack_limit limit(
        maximumItems, maximumMapItems, bytes.size(), bytes.size(), 0, maximumDepth);
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        return decodeEnvelope(handle.get());
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace tarragonhaven
