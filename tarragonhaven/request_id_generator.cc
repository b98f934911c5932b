#include "tarragonhaven/request_id_generator.h"

#include <absl/strings/str_cat.h>

namespace tarragonhaven {

RequestIdGenerator::RequestIdGenerator(const std::string& instance, std::uint64_t incarnation)
    : m_prefix(absl::StrCat(instance, "-", absl::Hex(incarnation), "-"))
{
}

std::string RequestIdGenerator::next() { return absl::StrCat(m_prefix, ++m_last); }

} // namespace tarragonhaven
