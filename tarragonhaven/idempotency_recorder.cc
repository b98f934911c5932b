// A record is created when a key is first used and is kept until the key has expired. Therefore a key that
// has no record and has not expired was never used. Records are evicted in order of first use, each once its
// own key has expired and all records before it have been evicted.

#include "tarragonhaven/idempotency_recorder.h"

#include "util/sha256.h"

namespace tarragonhaven {

std::string_view toString(IdempotencyVerdict verdict)
{
    switch (verdict) {
    case IdempotencyVerdict::Run:
        return "run";
    case IdempotencyVerdict::InUse:
        return "in-use";
    case IdempotencyVerdict::Completed:
        return "completed";
    case IdempotencyVerdict::Expired:
        return "expired";
    case IdempotencyVerdict::IssuerLost:
        return "issuer-lost";
    case IdempotencyVerdict::NotIssued:
        return "not-issued";
    }
    return "not-issued";
}

IdempotencyRecorder::IdempotencyRecorder(
    InstanceName self, std::uint64_t incarnation, std::string secret, RecorderOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_secret(std::move(secret))
    , m_options(options)
{
}

RecordedVerdict IdempotencyRecorder::begin(const IdempotencyKey& key, const OrganisationName& organisation,
    const std::string& fingerprint, std::uint64_t attempt, util::Time now)
{
    if (key.issuer != m_self || key.incarnation != m_incarnation)
        return { IdempotencyVerdict::IssuerLost, 0 };
    if (!util::equalInConstantTime(key.mac, idempotencyKeyMac(m_secret, key, organisation)))
        return { IdempotencyVerdict::NotIssued, 0 };
    const auto lifetime = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.lifetime).count());
    if (idempotencyKeySecond(now) >= key.issuedSecond + lifetime)
        return { IdempotencyVerdict::Expired, 0 };
    evictExpired(now);
    const auto found = m_records.find(key.number);
    if (found != m_records.end())
        return beginRepeated(found->second, fingerprint, attempt);
    if (m_records.size() >= m_options.maximumRecords)
        return { IdempotencyVerdict::InUse, 0 };
    m_records.emplace(key.number, Record { attempt, true, false, 0, fingerprint });
    m_order.emplace_back(key.issuedSecond, key.number);
    return { IdempotencyVerdict::Run, 0 };
}

RecordedVerdict IdempotencyRecorder::beginRepeated(
    Record& record, const std::string& fingerprint, std::uint64_t attempt)
{
    if (record.fingerprint != fingerprint)
        return { IdempotencyVerdict::NotIssued, 0 };
    if (record.completed)
        return { IdempotencyVerdict::Completed, record.status };
    if (record.running && record.attempt != attempt)
        return { IdempotencyVerdict::InUse, 0 };
    record.running = true;
    record.attempt = attempt;
    return { IdempotencyVerdict::Run, 0 };
}

void IdempotencyRecorder::complete(const IdempotencyKey& key, std::uint64_t attempt, int status)
{
    const auto found = m_records.find(key.number);
    if (key.incarnation != m_incarnation || found == m_records.end() || found->second.attempt != attempt)
        return;
    found->second.completed = true;
    found->second.status = status;
}

void IdempotencyRecorder::release(const IdempotencyKey& key, std::uint64_t attempt)
{
    const auto found = m_records.find(key.number);
    if (key.incarnation != m_incarnation || found == m_records.end() || found->second.attempt != attempt)
        return;
    if (!found->second.completed)
        found->second.running = false;
}

// A record behind one that expires later in the queue is evicted later than necessary, but none is evicted
// early.
void IdempotencyRecorder::evictExpired(util::Time now)
{
    const auto lifetime = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.lifetime).count());
    while (!m_order.empty() && idempotencyKeySecond(now) > m_order.front().first + lifetime) {
        m_records.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace tarragonhaven
