#pragma once

#include <cstdint>
#include <string>

namespace tarragonhaven {

// Makes ids of requests that are unique in the fleet: instance, incarnation and a running number.
class RequestIdGenerator {
public:
    RequestIdGenerator(const std::string& instance, std::uint64_t incarnation);
    std::string next();

private:
    std::string m_prefix;
    std::uint64_t m_last = 0;
};

} // namespace tarragonhaven
