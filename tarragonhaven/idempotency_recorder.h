#pragma once

#include "tarragonhaven/idempotency_key.h"
#include "util/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace tarragonhaven {

// The issuer's verdict on whether a request may run under one of its keys.
enum class IdempotencyVerdict {
    // The request may run now, once.
    Run,
    // An earlier attempt with this key may be running or may have run. Also the verdict on new keys while
    // RecorderOptions::maximumRecords is reached.
    InUse,
    // An earlier attempt with this key was answered by a target.
    Completed,
    // The key is past RecorderOptions::lifetime and its record may be gone, so a request may have run with
    // it.
    Expired,
    // The key was issued by an incarnation that no longer exists, so a request may have run with it.
    IssuerLost,
    // The key was not issued to this organisation, or was used for a request with another fingerprint.
    NotIssued,
};

std::string_view toString(IdempotencyVerdict verdict);
inline constexpr int idempotencyVerdictCount = static_cast<int>(IdempotencyVerdict::NotIssued) + 1;

struct RecorderOptions {
    // How long after its issue a key may be used. Its record is kept for as long.
    util::Duration lifetime = std::chrono::minutes(15);
    // Maximum number of records. While it is reached, no key may be used for the first time.
    std::size_t maximumRecords = 200'000;
};

struct RecordedVerdict {
    IdempotencyVerdict verdict = IdempotencyVerdict::NotIssued;
    // The status of the earlier response if the verdict is Completed.
    int status = 0;

    friend auto operator<=>(const RecordedVerdict&, const RecordedVerdict&) = default;
    friend bool operator==(const RecordedVerdict&, const RecordedVerdict&) = default;
};

// Records the use of the idempotency keys that this incarnation issued. No other node records them, so at
// most one attempt with a key is allowed to run, except that another may run after an attempt that certainly
// did not start. A key has no record before its first use. Not thread-safe.
class IdempotencyRecorder {
public:
    IdempotencyRecorder(
        InstanceName self, std::uint64_t incarnation, std::string secret, RecorderOptions options = {});

    // Decides whether `attempt` may run. Calling it again for an attempt that was allowed to run allows it
    // again, because messages may be duplicated. `fingerprint` is AdmissionRequest::requestFingerprint; a key
    // may only be used with the fingerprint of its first use.
    RecordedVerdict begin(const IdempotencyKey& key, const OrganisationName& organisation,
        const std::string& fingerprint, std::uint64_t attempt, util::Time now);
    // Records that a target answered the attempt with `status`.
    void complete(const IdempotencyKey& key, std::uint64_t attempt, int status);
    // Records that the attempt certainly did not start, so that another may run.
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
    // The second of issue and the number of each key that has a record, in order of first use.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_order;
};

} // namespace tarragonhaven
