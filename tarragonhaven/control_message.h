#pragma once

#include "tarragonhaven/crash_suspects.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/quota_usage.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/target_report.h"

#include <compare>
#include <concepts>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tarragonhaven {

// The messages that the control threads of nodes send to one another, one per datagram. Any of them may be
// lost, delayed or duplicated, and every receiver has to handle that. A time in a message is only compared
// with other times of the node whose clock it was read from. On the wire a message is an array of its fields,
// so their order, number and types are part of the protocol.

// Queries which views of the ownership group a peer holds, and reports the sender's revision and whether the
// sender is stopping.
struct PingMessage {
    // The sender's clock when the ping was sent, in nanoseconds.
    std::int64_t sentAt = 0;
    Revision revision = 0;
    bool leaving = false;
    MSGPACK_DEFINE_ARRAY(sentAt, revision, leaving);

    friend bool operator==(const PingMessage&, const PingMessage&) = default;
};

// A member's view of its ownership group: the id of a member set, and a bit mask of the members of the set
// that are considered absent (see MemberMask).
struct MemberView {
    std::uint64_t setId = 0;
    std::uint64_t absent = 0;
    MSGPACK_DEFINE_ARRAY(setId, absent);

    friend auto operator<=>(const MemberView&, const MemberView&) = default;
    friend bool operator==(const MemberView&, const MemberView&) = default;
};

// Replies to a PingMessage.
struct PongMessage {
    // Copied from the ping.
    std::int64_t sentAt = 0;
    // The incarnation of the node that sent the ping.
    std::uint64_t requesterIncarnation = 0;
    // Whether the replying node has run for at least the hold time (OwnershipOptions::hold) and has known
    // this incarnation of the requester for as long.
    bool holdElapsed = false;
    // All views that the replying node held at any moment within the last hold time.
    std::vector<MemberView> heldViews;
    Revision revision = 0;
    bool leaving = false;
    MSGPACK_DEFINE_ARRAY(sentAt, requesterIncarnation, holdElapsed, heldViews, revision, leaving);

    friend bool operator==(const PongMessage&, const PongMessage&) = default;
};

// An entry node requests tokens from the owner of an organisation's share.
struct TokenRequest {
    std::uint64_t requestId = 0;
    std::string organisation;
    // Number of requests that wait for a token now.
    int waiting = 0;
    // Number of further tokens wanted for requests that are expected soon.
    int prefetch = 0;
    MSGPACK_DEFINE_ARRAY(requestId, organisation, waiting, prefetch);

    friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

struct TokenRequestMessage {
    std::vector<TokenRequest> requests;
    MSGPACK_DEFINE_ARRAY(requests);

    friend bool operator==(const TokenRequestMessage&, const TokenRequestMessage&) = default;
};

// Replies to a TokenRequest.
struct TokenGrant {
    std::uint64_t requestId = 0;
    // False if the replying node does not own the organisation's share. The fields below are meaningless
    // then.
    bool owner = false;
    std::uint64_t grantId = 0;
    // Tokens for the waiting requests. They are void if they arrive later than TokenLifetimes::immediate
    // after the token request was sent.
    int immediate = 0;
    // Prefetched tokens. They are void from TokenLifetimes::prefetched after the token request was sent.
    int prefetched = 0;
    // Microseconds until the owner has a token again, if it had too few for the waiting requests; otherwise
    // 0.
    std::int64_t nextTokenUs = 0;
    MSGPACK_DEFINE_ARRAY(requestId, owner, grantId, immediate, prefetched, nextTokenUs);

    friend bool operator==(const TokenGrant&, const TokenGrant&) = default;
};

struct TokenGrantMessage {
    std::vector<TokenGrant> grants;
    MSGPACK_DEFINE_ARRAY(grants);

    friend bool operator==(const TokenGrantMessage&, const TokenGrantMessage&) = default;
};

// Reports to an owner that the requester holds no prefetched tokens of a grant any longer: `returned` of them
// were not used, and the others were.
struct TokenReturn {
    std::string organisation;
    std::uint64_t grantId = 0;
    int returned = 0;
    MSGPACK_DEFINE_ARRAY(organisation, grantId, returned);

    friend bool operator==(const TokenReturn&, const TokenReturn&) = default;
};

struct TokenReturnMessage {
    std::vector<TokenReturn> returns;
    MSGPACK_DEFINE_ARRAY(returns);

    friend bool operator==(const TokenReturnMessage&, const TokenReturnMessage&) = default;
};

// Queries the issuer of an idempotency key whether a request may run under the key.
struct IdempotencyBeginMessage {
    std::uint64_t attempt = 0;
    std::string key;
    std::string organisation;
    std::string fingerprint;
    MSGPACK_DEFINE_ARRAY(attempt, key, organisation, fingerprint);

    friend bool operator==(const IdempotencyBeginMessage&, const IdempotencyBeginMessage&) = default;
};

// An entry node reports to the issuer the outcome of an attempt that the issuer allowed to run. `outcome`
// is the numeric value of the outcome (admission.h), `status` is the status of the target's response.
struct IdempotencyEndMessage {
    std::uint64_t attempt = 0;
    std::string key;
    int outcome = 0;
    int status = 0;
    MSGPACK_DEFINE_ARRAY(attempt, key, outcome, status);

    friend bool operator==(const IdempotencyEndMessage&, const IdempotencyEndMessage&) = default;
};

// Replies to an IdempotencyBeginMessage with an IdempotencyVerdict in `verdict`, and acknowledges an
// IdempotencyEndMessage with `verdict` -1.
struct IdempotencyVerdictMessage {
    std::uint64_t attempt = 0;
    int verdict = 0;
    int status = 0;
    MSGPACK_DEFINE_ARRAY(attempt, verdict, status);

    friend bool operator==(const IdempotencyVerdictMessage&, const IdempotencyVerdictMessage&) = default;
};

// The sender is stopping and accepts no new work.
struct LeavingMessage {
    bool leaving = true;
    MSGPACK_DEFINE_ARRAY(leaving);

    friend bool operator==(const LeavingMessage&, const LeavingMessage&) = default;
};

// A guard node reports the state of its target to an entry node, unsolicited.
struct TargetReportMessage {
    std::string target;
    TargetReport report;
    MSGPACK_DEFINE_ARRAY(target, report);

    friend bool operator==(const TargetReportMessage&, const TargetReportMessage&) = default;
};

// A node that reads the store reports to the guard of a target that the target has ceased to serve, or serves
// again, as of a position in the store's history. The guard may be cut off from the store.
struct TargetStateMessage {
    std::string target;
    std::int64_t startTimeMs = 0;
    bool serving = false;
    StorePosition asOf;
    MSGPACK_DEFINE_ARRAY(target, startTimeMs, serving, asOf);

    friend bool operator==(const TargetStateMessage&, const TargetStateMessage&) = default;
};

// A node that reads the store reports to the guards of a data centre that it is evacuated, or that its
// evacuation has ended, as of a position in the store's history. A guard may be cut off from the store.
struct EvacuationMessage {
    std::string dataCentre;
    bool evacuated = false;
    StorePosition asOf;
    MSGPACK_DEFINE_ARRAY(dataCentre, evacuated, asOf);

    friend bool operator==(const EvacuationMessage&, const EvacuationMessage&) = default;
};

// A node reports what it has admitted, for limits of one QuotaKind.
struct QuotaReportMessage {
    int kind = 0;
    std::vector<QuotaUsage> usages;
    MSGPACK_DEFINE_ARRAY(kind, usages);

    friend bool operator==(const QuotaReportMessage&, const QuotaReportMessage&) = default;
};

// Replies to a QuotaReportMessage with what all other nodes have admitted.
struct RemoteQuotaUsageMessage {
    int kind = 0;
    std::vector<RemoteQuotaUsage> remoteUsages;
    MSGPACK_DEFINE_ARRAY(kind, remoteUsages);

    friend bool operator==(const RemoteQuotaUsageMessage&, const RemoteQuotaUsageMessage&) = default;
};

// Requests a QuotaReportMessage on the given names from a node. Sent when the usage is close to a limit.
struct QuotaQueryMessage {
    int kind = 0;
    std::vector<std::string> names;
    MSGPACK_DEFINE_ARRAY(kind, names);

    friend bool operator==(const QuotaQueryMessage&, const QuotaQueryMessage&) = default;
};

// A guard reports that its target has crashed, and what it knows of the requests that the target was running.
struct CrashReportMessage {
    std::string target;
    // See TargetCrash.
    std::int64_t detectedAt = 0;
    std::vector<SuspectState> suspects;
    MSGPACK_DEFINE_ARRAY(target, detectedAt, suspects);

    friend bool operator==(const CrashReportMessage&, const CrashReportMessage&) = default;
};

// A node that has started asks what others know of requests that crash targets.
struct SuspectQueryMessage {
    // The number of suspects that are wanted at most.
    int count = 0;
    MSGPACK_DEFINE_ARRAY(count);

    friend bool operator==(const SuspectQueryMessage&, const SuspectQueryMessage&) = default;
};

// Replies to a SuspectQueryMessage, and to a CrashReportMessage if the sender knows more of some of the
// requests.
struct SuspectStateMessage {
    std::vector<SuspectState> suspects;
    MSGPACK_DEFINE_ARRAY(suspects);

    friend bool operator==(const SuspectStateMessage&, const SuspectStateMessage&) = default;
};

// A target has answered these requests, so they do not crash targets.
struct SuspectAnsweredMessage {
    std::vector<RequestFingerprint> fingerprints;
    MSGPACK_DEFINE_ARRAY(fingerprints);

    friend bool operator==(const SuspectAnsweredMessage&, const SuspectAnsweredMessage&) = default;
};

// The messages about requests that crash targets.
template <typename T>
concept SuspectMessage = std::same_as<T, CrashReportMessage> || std::same_as<T,
    SuspectStateMessage> || std::same_as<T, SuspectAnsweredMessage> || std::same_as<T, SuspectQueryMessage>;

using ControlMessage = std::variant<PingMessage, PongMessage, TokenRequestMessage, TokenGrantMessage,
    TokenReturnMessage, IdempotencyBeginMessage, IdempotencyEndMessage, IdempotencyVerdictMessage,
    LeavingMessage, TargetReportMessage, QuotaReportMessage, RemoteQuotaUsageMessage, QuotaQueryMessage,
    TargetStateMessage, CrashReportMessage, SuspectStateMessage, SuspectAnsweredMessage, SuspectQueryMessage,
    EvacuationMessage>;

// A message together with its sender and the sender's fleet.
struct ControlEnvelope {
    std::string fleet;
    InstanceName from;
    std::uint64_t incarnation = 0;
    ControlMessage message;
};

// The maximum size of a datagram that is sent, in bytes.
inline constexpr std::size_t maximumDatagramBytes = 1400;

std::string encodeControl(const ControlEnvelope& envelope);
// Returns nullopt if `bytes` is not a valid message of this protocol version.
std::optional<ControlEnvelope> decodeControl(std::string_view bytes);

} // namespace tarragonhaven
