#pragma once

#include <string>

namespace tarragonhaven::testing {

// How a fake target behaves. All shares are from 0 to 1.
struct FaultPlan {
    // The time that a request takes, before the factors below, in milliseconds.
    double serviceMs = 5;
    double slowFactor = 1;
    // The share of requests answered with 500.
    double failShare = 0;
    // The share answered without a length, which cannot be told from a cut.
    double unframedShare = 0;
    // The share whose body ends before its announced length.
    double cutShare = 0;
    // Never answers.
    bool hang = false;
    // Closes every connection as soon as it has read a request.
    bool dropAll = false;
    // Crashes for crashMs on a request whose path holds this text; empty for never.
    std::string crashOnPath;
    double crashMs = 1000;
    // Alternates between healthy and dropAll with this period; 0 for never.
    double flapPeriodMs = 0;
    // Takes coldFactor times as long for coldMs after a start.
    double coldMs = 0;
    double coldFactor = 1;
    // Answers 503 with Connection: close.
    bool draining = false;
    // Says that it is healthy whatever it does.
    bool lyingHealth = false;
    // Requests at once beyond this are answered with 503; 0 for no limit.
    int slots = 0;
};

// Reads a plan from JSON; fields that are missing keep their defaults.
FaultPlan parseFaultPlan(const std::string& text);

} // namespace tarragonhaven::testing
