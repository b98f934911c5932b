#include "tarragonhaven/memory/head_cost.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // An allocation takes a header of 8 bytes, is rounded up to 16 bytes and is not below 32.
    constexpr std::size_t allocationHeaderBytes = 8;
    constexpr std::size_t allocationUnitBytes = 16;
    constexpr std::size_t minimumAllocationBytes = 32;
    // Links of a list and a set, views and lengths, and the separators between the texts.
    constexpr std::size_t parsedFieldBytes = 80;
    // Shorter texts are stored in the string object.
    constexpr std::size_t inlineTextBytes = 15;
    // A vector that grows by doubling has up to twice the capacity that it uses.
    constexpr std::size_t growthFactor = 2;

    std::size_t allocationBytes(std::size_t bytes)
    {
        const auto rounded = (bytes + allocationHeaderBytes + allocationUnitBytes - 1) / allocationUnitBytes
            * allocationUnitBytes;
        return std::max(rounded, minimumAllocationBytes);
    }

    std::size_t textBytes(std::size_t length)
    {
        return length > inlineTextBytes ? allocationBytes(length + 1) : 0;
    }

} // namespace

std::size_t fieldCost(std::size_t nameBytes, std::size_t valueBytes)
{
    return allocationBytes(parsedFieldBytes + nameBytes + valueBytes) + growthFactor * sizeof(HeaderField)
        + textBytes(nameBytes) + textBytes(valueBytes);
}

std::size_t headCost(const RequestHead& head)
{
    auto bytes = textBytes(head.method.size()) + textBytes(head.target.size()) + textBytes(head.host.size());
    for (const auto& field : head.fields)
        bytes += fieldCost(field.name.size(), field.value.size());
    return bytes;
}

} // namespace tarragonhaven
