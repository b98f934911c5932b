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

// The requests of the traffic thread to the control thread, and the replies. Both are passed over rings.

// Requests tokens from the owner of an organisation's share in a data centre. `dataCentre` is the index of
// the data centre in the configuration.
struct FetchTokensRequest {
    int dataCentre = 0;
    TokenRequest tokenRequest;
};
// Returns unused prefetched tokens to the owner that granted them.
struct ReturnTokensRequest {
    int dataCentre = 0;
    TokenReturn tokenReturn;
};
// Asks whether a request may run under an idempotency key; answered by an IdempotencyReply.
struct IdempotencyBeginRequest {
    std::uint64_t attempt = 0;
    std::string key;
    OrganisationName organisation;
    std::string fingerprint;
};
// Reports the outcome of an attempt that an IdempotencyReply allowed to run.
struct IdempotencyEndRequest {
    std::uint64_t attempt = 0;
    std::string key;
    IdempotencyOutcome outcome = IdempotencyOutcome::Unknown;
    int status = 0;
};
// Sends the report on a target that this node guards to the given entry nodes.
struct SendTargetReportRequest {
    TargetName target;
    TargetReport report;
    std::vector<InstanceName> entries;
};
// Sends a message about suspects to another node, or to all if none is named.
struct SendSuspectsRequest {
    ControlMessage message;
    InstanceName to;
};
// Makes the control thread notify all peers that this node is stopping.
struct StopRequest { };

using ControlRequest
    = std::variant<std::monostate, FetchTokensRequest, ReturnTokensRequest, IdempotencyBeginRequest,
        IdempotencyEndRequest, SendTargetReportRequest, SendSuspectsRequest, StopRequest>;

// Replies of the control thread.

// Answers a FetchTokensRequest.
struct TokenGrantReply {
    OrganisationName organisation;
    TokenGrant grant;
};
// Answers an IdempotencyBeginRequest.
struct IdempotencyReply {
    std::uint64_t attempt = 0;
    // False if the issuer did not answer in time; the request must not run then.
    bool issuerReachable = false;
    RecordedVerdict recorded;
};
// A guard node sent this entry node a report on its target.
struct TargetReportReceived {
    TargetName target;
    TargetReport report;
};
// Another node has sent what it knows of suspects.
struct SuspectsReceived {
    InstanceName from;
    ControlMessage message;
};
// The state of the fleet as this node knows it. Sent whenever it changes.
struct FleetView {
    // Instances whose node has announced that it is stopping.
    std::set<InstanceName> leaving;
    // Whether the configuration was confirmed so recently that this node would know of a revoked API key.
    bool keysFresh = true;
    // Whether this node has a configuration and may serve requests. A starting node may serve once as many
    // peers have responded as a majority of its ownership group needs and none has reported a newer revision,
    // or once ControlOptions::startupWait has passed. Stays true from then on.
    bool mayServe = false;
    // Indexes of the data centres, this node's own first, then the others in cyclic order. Nodes of different
    // data centres therefore turn to different ones next, which spreads the load.
    std::vector<int> dataCentreOrder;

    friend bool operator==(const FleetView&, const FleetView&) = default;
};

using ControlReply = std::variant<std::monostate, TokenGrantReply, IdempotencyReply, TargetReportReceived,
    SuspectsReceived, FleetView>;

// A message and the address to send it to.
struct ControlDatagram {
    Endpoint to;
    ControlMessage message;
};

} // namespace tarragonhaven
