#pragma once

#include "tarragonhaven/idempotency_key.h"
#include "util/time.h"

#include <cstdint>
#include <string>

namespace tarragonhaven {

// Issues idempotency keys for one incarnation of a node. The IdempotencyRecorder of the same incarnation
// verifies keys by their MAC, so issued keys are not registered with it. Not thread-safe.
class IdempotencyKeyIssuer {
public:
    IdempotencyKeyIssuer(InstanceName self, std::uint64_t incarnation, std::string secret)
        : m_self(std::move(self))
        , m_incarnation(incarnation)
        , m_secret(std::move(secret))
    {
    }

    // Returns a new, unique key for an organisation.
    std::string issue(const OrganisationName& organisation, util::Time now)
    {
        IdempotencyKey key { m_self, m_incarnation, idempotencyKeySecond(now), ++m_lastNumber, "" };
        key.mac = idempotencyKeyMac(m_secret, key, organisation);
        return toString(key);
    }

private:
    InstanceName m_self;
    std::uint64_t m_incarnation;
    std::string m_secret;
    std::uint64_t m_lastNumber = 0;
};

} // namespace tarragonhaven
