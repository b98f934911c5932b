#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/quota_use.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/target_report.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tarragonhaven {

// The datagrams between the control threads of nodes. Each may be lost, late or doubled; every receiver is
// written for that. Times in them are only ever compared by the node that took them.

// Asks a peer whether it supports the sender as an owner, and tells it the sender's state.
struct PingMessage {
    // The sender's clock when the ping was sent, in nanoseconds.
    std::int64_t sentAt = 0;
    Revision revision = 0;
    bool leaving = false;
    MSGPACK_DEFINE_ARRAY(sentAt, revision, leaving);

    friend bool operator==(const PingMessage&, const PingMessage&) = default;
};

// A view of a member: a member set, and which of its members the member takes for absent.
struct MemberView {
    std::uint64_t setId = 0;
    std::uint64_t absent = 0;
    MSGPACK_DEFINE_ARRAY(setId, absent);

    friend auto operator<=>(const MemberView&, const MemberView&) = default;
    friend bool operator==(const MemberView&, const MemberView&) = default;
};

struct PongMessage {
    // Copied from the ping.
    std::int64_t sentAt = 0;
    std::uint64_t requesterIncarnation = 0;
    // Whether the answerer has run, and has known this incarnation of the asker, for the hold time.
    bool holdElapsed = false;
    // The views that the answerer held at any moment of the hold time.
    std::vector<MemberView> heldViews;
    Revision revision = 0;
    bool leaving = false;
    MSGPACK_DEFINE_ARRAY(sentAt, requesterIncarnation, holdElapsed, heldViews, revision, leaving);

    friend bool operator==(const PongMessage&, const PongMessage&) = default;
};

// An entry asks the owner of an organisation's share for tokens.
struct TokenRequest {
    std::uint64_t requestId = 0;
    std::string organisation;
    // Requests that wait now.
    int waiting = 0;
    // Tokens wanted beyond these, for requests that are expected soon.
    int prefetch = 0;
    MSGPACK_DEFINE_ARRAY(requestId, organisation, waiting, prefetch);

    friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

struct TokenRequestMessage {
    std::vector<TokenRequest> requests;
    MSGPACK_DEFINE_ARRAY(requests);

    friend bool operator==(const TokenRequestMessage&, const TokenRequestMessage&) = default;
};

struct TokenGrant {
    std::uint64_t requestId = 0;
    // False when the answerer does not own the organisation; then nothing else counts.
    bool owner = false;
    std::uint64_t grantId = 0;
    // Tokens for the requests that wait; void if they arrive later than the immediate lifetime after the ask.
    int immediate = 0;
    // Tokens that may be kept for the spare lifetime after the ask.
    int prefetched = 0;
    // When the owner has a token again, in microseconds, if it had too few.
    std::int64_t nextTokenUs = 0;
    MSGPACK_DEFINE_ARRAY(requestId, owner, grantId, immediate, prefetched, nextTokenUs);

    friend bool operator==(const TokenGrant&, const TokenGrant&) = default;
};

struct TokenGrantMessage {
    std::vector<TokenGrant> grants;
    MSGPACK_DEFINE_ARRAY(grants);

    friend bool operator==(const TokenGrantMessage&, const TokenGrantMessage&) = default;
};

// Tells an owner that the spare tokens of a grant are used up or given back.
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

// An entry asks the issuer of an idempotency key whether a request may run.
struct IdempotencyBeginMessage {
    std::uint64_t attempt = 0;
    std::string key;
    std::string organisation;
    std::string fingerprint;
    MSGPACK_DEFINE_ARRAY(attempt, key, organisation, fingerprint);

    friend bool operator==(const IdempotencyBeginMessage&, const IdempotencyBeginMessage&) = default;
};

// An entry tells the issuer what became of a request that it let run.
struct IdempotencyEndMessage {
    std::uint64_t attempt = 0;
    std::string key;
    int outcome = 0;
    int status = 0;
    MSGPACK_DEFINE_ARRAY(attempt, key, outcome, status);

    friend bool operator==(const IdempotencyEndMessage&, const IdempotencyEndMessage&) = default;
};

// Answers both; after an end it only says that the message has arrived.
struct IdempotencyVerdictMessage {
    std::uint64_t attempt = 0;
    int verdict = 0;
    int status = 0;
    MSGPACK_DEFINE_ARRAY(attempt, verdict, status);

    friend bool operator==(const IdempotencyVerdictMessage&, const IdempotencyVerdictMessage&) = default;
};

// The sender stops: it takes no new work.
struct LeavingMessage {
    bool leaving = true;
    MSGPACK_DEFINE_ARRAY(leaving);

    friend bool operator==(const LeavingMessage&, const LeavingMessage&) = default;
};

// A guard tells an entry of its target unasked.
struct TargetReportMessage {
    std::string target;
    TargetReport report;
    MSGPACK_DEFINE_ARRAY(target, report);

    friend bool operator==(const TargetReportMessage&, const TargetReportMessage&) = default;
};

// A node tells what it admitted, of one QuotaKind.
struct QuotaReportMessage {
    int kind = 0;
    std::vector<QuotaUse> usages;
    MSGPACK_DEFINE_ARRAY(kind, usages);

    friend bool operator==(const QuotaReportMessage&, const QuotaReportMessage&) = default;
};

// Answers with what all other nodes did.
struct RemoteQuotaUsageMessage {
    int kind = 0;
    std::vector<QuotaElsewhere> remoteUsages;
    MSGPACK_DEFINE_ARRAY(kind, remoteUsages);

    friend bool operator==(const RemoteQuotaUsageMessage&, const RemoteQuotaUsageMessage&) = default;
};

// Asks a node for its report on names, near a limit.
struct QuotaQueryMessage {
    int kind = 0;
    std::vector<std::string> names;
    MSGPACK_DEFINE_ARRAY(kind, names);

    friend bool operator==(const QuotaQueryMessage&, const QuotaQueryMessage&) = default;
};

using ControlMessage = std::variant<PingMessage, PongMessage, TokenRequestMessage, TokenGrantMessage,
    TokenReturnMessage, IdempotencyBeginMessage, IdempotencyEndMessage, IdempotencyVerdictMessage,
    LeavingMessage, TargetReportMessage, QuotaReportMessage, RemoteQuotaUsageMessage, QuotaQueryMessage>;

// A message with its sender.
struct ControlEnvelope {
    std::string fleet;
    InstanceName from;
    std::uint64_t incarnation = 0;
    ControlMessage message;
};

// The largest datagram that is sent, in bytes.
inline constexpr std::size_t maximumDatagramBytes = 1400;

std::string encodeControl(const ControlEnvelope& envelope);
// Returns nothing for bytes that are no message of this version.
std::optional<ControlEnvelope> decodeControl(std::string_view bytes);

} // namespace tarragonhaven
