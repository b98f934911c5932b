#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/control_message.h"
#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/idempotency_recorder.h"
#include "tarragonhaven/names.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tarragonhaven {

// What the traffic thread asks of the control thread.

// Tokens from the owner of an organisation's share in a data centre, by index.
struct FetchTokensRequest {
    int dataCentre = 0;
    TokenRequest tokenRequest;
};
// Spare tokens to give back.
struct ReturnTokensRequest {
    int dataCentre = 0;
    TokenReturn tokenReturn;
};
// Whether a request may run under an idempotency key.
struct IdempotencyBeginRequest {
    std::uint64_t attempt = 0;
    std::string key;
    OrganisationName organisation;
    std::string fingerprint;
};
// What became of it.
struct IdempotencyEndRequest {
    std::uint64_t attempt = 0;
    std::string key;
    IdentityOutcome outcome = IdentityOutcome::Unknown;
    int status = 0;
};
// Entries to be told of a target that this node guards.
struct SendTargetReportRequest {
    TargetName target;
    TargetReport report;
    std::vector<InstanceName> entries;
};
// The node stops: tell the peers.
struct StopRequest { };

using ControlRequest = std::variant<std::monostate, FetchTokensRequest, ReturnTokensRequest,
    IdempotencyBeginRequest, IdempotencyEndRequest, SendTargetReportRequest, StopRequest>;

// What the control thread tells the traffic thread.

struct TokenGrantReply {
    OrganisationName organisation;
    TokenGrant grant;
};
struct IdempotencyReply {
    std::uint64_t attempt = 0;
    // False when the issuer did not answer in time; then the request must not run.
    bool issuerReachable = false;
    RecordedVerdict recorded;
};
// A guard tells this entry of its target.
struct TargetReportReceived {
    TargetName target;
    TargetReport report;
};
// What this node knows of the fleet.
struct FleetView {
    // Instances whose node has said that it stops.
    std::set<InstanceName> leaving;
    // Whether a withdrawal of a key cannot have been missed for long.
    bool keysFresh = true;
    // Whether this node has the newest configuration that it could learn of.
    bool mayServe = false;
    // The data centres by index, this node's own first, then in an order that spreads the load.
    std::vector<int> dataCentreOrder;

    friend bool operator==(const FleetView&, const FleetView&) = default;
};

using ControlReply
    = std::variant<std::monostate, TokenGrantReply, IdempotencyReply, TargetReportReceived, FleetView>;

// A datagram to be sent.
struct ControlDatagram {
    Endpoint to;
    ControlMessage message;
};

} // namespace tarragonhaven
