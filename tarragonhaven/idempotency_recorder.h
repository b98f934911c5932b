#pragma once

#include "tarragonhaven/idempotency_key.h"
#include "util/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace tarragonhaven {

// What an issuer says of a request that wants to run under one of its keys.
enum class IdempotencyVerdict {
    // The request may run now, this once.
    Run,
    // An earlier attempt under the key may be running, or may have run.
    InUse,
    // An earlier attempt ran to its answer.
    Completed,
    // The key is older than records are kept: it may have run.
    Expired,
    // The key was issued by an incarnation that is gone: it may have run.
    IssuerLost,
    // The key was not issued to this organisation, or served another kind of request.
    NotIssued,
};

std::string_view name(IdempotencyVerdict verdict);
inline constexpr int idempotencyVerdictCount = static_cast<int>(IdempotencyVerdict::NotIssued) + 1;

struct RecorderOptions {
    // How long after its issue a key may be used, and its record is kept.
    util::Duration lifetime = std::chrono::minutes(15);
    // Records at once. At the bound no new key is let run, and the verdict is InUse.
    std::size_t maximumRecords = 200'000;
};

struct RecordedVerdict {
    IdempotencyVerdict verdict = IdempotencyVerdict::NotIssued;
    // The status of the earlier answer, when it is Completed.
    int status = 0;

    friend auto operator<=>(const RecordedVerdict&, const RecordedVerdict&) = default;
    friend bool operator==(const RecordedVerdict&, const RecordedVerdict&) = default;
};

// The record of the idempotency keys that this incarnation issued. It is the only recorder of them, so a key
// is let run at most once unless the attempt that it was let run for certainly did not start. Nothing is kept
// of a key before it is used.
class IdempotencyRecorder {
public:
    IdempotencyRecorder(
        InstanceName self, std::uint64_t incarnation, std::string secret, RecorderOptions options = {});

    // An attempt wants to run. The same attempt, asked again, gets the same verdict.
    RecordedVerdict begin(const IdempotencyKey& key, const OrganisationName& organisation,
        const std::string& fingerprint, std::uint64_t attempt, util::Time now);
    // The attempt was answered by a target with `status`.
    void complete(const IdempotencyKey& key, std::uint64_t attempt, int status);
    // The attempt certainly did not start; another may run.
    void release(const IdempotencyKey& key, std::uint64_t attempt);

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    struct Record {
        std::uint64_t attempt = 0;
        bool running = false;
        bool completed = false;
        int status = 0;
        std::string fingerprint;
    };

    void evictExpired(util::Time now);
    RecordedVerdict beginRepeated(Record& record, const std::string& fingerprint, std::uint64_t attempt);

    InstanceName m_self;
    std::uint64_t m_incarnation;
    std::string m_secret;
    RecorderOptions m_options;
    std::map<std::uint64_t, Record> m_records;
    // Records in the order of their first use: the second of the key's issue and its number.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_order;
};

} // namespace tarragonhaven
