#include "tarragonhaven/request_id.h"

#include <absl/strings/str_cat.h>

namespace tarragonhaven {

RequestIds::RequestIds(const std::string& instance, std::uint64_t incarnation)
    : m_prefix(absl::StrCat(instance, "-", absl::Hex(incarnation), "-"))
{
}

std::string RequestIds::next() { return absl::StrCat(m_prefix, ++m_last); }

} // namespace tarragonhaven
