#pragma once

#include <string>

namespace tarragonhaven::testing {

// The behaviour of a fake target. Shares are probabilities from 0 to 1, drawn separately for each request.
// The default is a healthy target.
struct FaultPlan {
    // The mean service time of a request, before the factors below. The actual time is 0.75 to 1.25 times the
    // mean.
    double serviceMs = 5;
    double slowFactor = 1;
    // The share of requests that get status 500.
    double failShare = 0;
    // The share of responses that have no length and end with the connection. They cannot be distinguished
    // from truncated responses.
    double unframedShare = 0;
    // The share of responses whose body ends before its announced length.
    double cutShare = 0;
    // The share of responses that are sent in chunks and followed by a trailer field of 70,000 bytes, after
    // which the connection is closed.
    double longTrailerShare = 0;
    // Never responds; closes the connection after an hour.
    bool hang = false;
    // Closes every connection as soon as it has read a request.
    bool dropAll = false;
    // A request whose path contains this text crashes the target, which is down for `crashMs` and then starts
    // again. Empty disables crashes.
    std::string crashOnPath;
    double crashMs = 1000;
    // Alternates between normal behaviour and that of `dropAll`, each for this long. 0 disables flapping.
    double flapPeriodMs = 0;
    // Requests take `coldFactor` times as long during the first `coldMs` after a start.
    double coldMs = 0;
    double coldFactor = 1;
    // Responds with 503 and "Connection: close".
    bool draining = false;
    // Reports "healthy" at GET /health even while it hangs or drops connections.
    bool lyingHealth = false;
    // The number of concurrent requests beyond which requests get 503; 0 for no limit.
    int slots = 0;
};

// Parses a plan from a JSON object whose keys are the member names. Missing keys keep their defaults; text
// that is not a JSON object gives the default plan. Throws nlohmann::json::type_error if a value has a wrong
// type.
FaultPlan parseFaultPlan(const std::string& text);

} // namespace tarragonhaven::testing
