#pragma once

#include <cstdint>
#include <string>

namespace tarragonhaven {

// Generates request ids that are unique in the fleet. An id consists of the name of the instance, its
// incarnation and a sequence number.
class RequestIdGenerator {
public:
    RequestIdGenerator(const std::string& instance, std::uint64_t incarnation);
    std::string next();

private:
    std::string m_prefix;
    std::uint64_t m_last = 0;
};

} // namespace tarragonhaven
