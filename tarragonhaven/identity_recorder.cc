// A record is made when a key is first used and is kept until the key has expired, so a key without a record
// that has not expired was never used. Records are forgotten in the order of their first use, each when its
// own key has expired and those before it have gone.

#include "tarragonhaven/identity_recorder.h"

#include "util/sha256.h"

namespace tarragonhaven {

std::string_view name(IdentityVerdict verdict)
{
    switch (verdict) {
    case IdentityVerdict::Run:
        return "run";
    case IdentityVerdict::InUse:
        return "in-use";
    case IdentityVerdict::Completed:
        return "completed";
    case IdentityVerdict::Expired:
        return "expired";
    case IdentityVerdict::IssuerLost:
        return "issuer-lost";
    case IdentityVerdict::NotIssued:
        return "not-issued";
    }
    return "not-issued";
}

IdentityRecorder::IdentityRecorder(
    InstanceName self, std::uint64_t incarnation, std::string secret, RecorderOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_secret(std::move(secret))
    , m_options(options)
{
}

RecordedVerdict IdentityRecorder::begin(const IdentityKey& key, const OrganisationName& organisation,
    const std::string& purpose, std::uint64_t attempt, util::Time now)
{
    if (key.issuer != m_self || key.incarnation != m_incarnation)
        return { IdentityVerdict::IssuerLost, 0 };
    if (!util::equalInConstantTime(key.code, identityCode(m_secret, key, organisation)))
        return { IdentityVerdict::NotIssued, 0 };
    const auto lifetime = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.lifetime).count());
    if (identitySecond(now) >= key.issuedSecond + lifetime)
        return { IdentityVerdict::Expired, 0 };
    forgetOld(now);
    const auto found = m_records.find(key.number);
    if (found != m_records.end())
        return beginAgain(found->second, purpose, attempt);
    if (m_records.size() >= m_options.maximumRecords)
        return { IdentityVerdict::InUse, 0 };
    m_records.emplace(key.number, Record { attempt, true, false, 0, purpose });
    m_order.emplace_back(key.issuedSecond, key.number);
    return { IdentityVerdict::Run, 0 };
}

RecordedVerdict IdentityRecorder::beginAgain(
    Record& record, const std::string& purpose, std::uint64_t attempt)
{
    if (record.purpose != purpose)
        return { IdentityVerdict::NotIssued, 0 };
    if (record.completed)
        return { IdentityVerdict::Completed, record.status };
    if (record.running && record.attempt != attempt)
        return { IdentityVerdict::InUse, 0 };
    record.running = true;
    record.attempt = attempt;
    return { IdentityVerdict::Run, 0 };
}

void IdentityRecorder::complete(const IdentityKey& key, std::uint64_t attempt, int status)
{
    const auto found = m_records.find(key.number);
    if (key.incarnation != m_incarnation || found == m_records.end() || found->second.attempt != attempt)
        return;
    found->second.completed = true;
    found->second.status = status;
}

void IdentityRecorder::release(const IdentityKey& key, std::uint64_t attempt)
{
    const auto found = m_records.find(key.number);
    if (key.incarnation != m_incarnation || found == m_records.end() || found->second.attempt != attempt)
        return;
    if (!found->second.completed)
        found->second.running = false;
}

// The queue is in order of first use. A record behind a later-expiring one is forgotten with it, later than
// it could be; none is forgotten early, since each is only removed when its own key has expired.
void IdentityRecorder::forgetOld(util::Time now)
{
    const auto lifetime = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.lifetime).count());
    while (!m_order.empty() && identitySecond(now) > m_order.front().first + lifetime) {
        m_records.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace tarragonhaven
