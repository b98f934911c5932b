#pragma once

#include "tarragonhaven/service_health.h"
#include "tarragonhaven/slot_queue.h"
#include "tarragonhaven/target_chooser.h"
#include "tarragonhaven/testing/rate_oracle.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// Which policy the modelled entries and guards follow.
enum class Policy {
    // This project's: evidence, ejection above a floor, two choices, slots shared between organisations.
    Ours,
    // Targets in turn, none ejected, first come first served.
    RoundRobin,
    // Targets in turn, ejected for 30 s after five failures in a row at one entry, first come first served.
    ConsecutiveErrors,
};

std::string_view toString(Policy policy);

// What one target does from `from` on.
struct ModelFault {
    int target = 0;
    double startSecond = 0;
    double slowFactor = 1;
    double failShare = 0;
    bool hangs = false;
    // Healthy again in every second half of this period; 0 for a steady fault.
    double flapPeriodSeconds = 0;
    // Every target is hit.
    bool affectsAllTargets = false;
};

struct ModelOrganisation {
    std::string name;
    double ratePerSecond = 10;
    double serviceTimeFactor = 1;
    // Its limit, when it has one; above it requests are refused at the entry.
    double limitPerSecond = 0;
};

// One service of a deployment under load.
struct ModelOptions {
    Policy policy = Policy::Ours;
    int targets = 6;
    int slots = 5;
    int entryNodes = 12;
    int dataCentres = 3;
    int floorPercent = 60;
    EjectionSensitivity sensitivity = EjectionSensitivity::Fast;
    double medianServiceMs = 40;
    double serviceTimeSigma = 0.4;
    double linkLatencyMs = 0.5;
    double backgroundFailShare = 0.002;
    double durationSeconds = 60;
    double deadlineSeconds = 5;
    std::vector<ModelOrganisation> organisations;
    std::vector<ModelFault> faults;
    std::uint64_t seed = 1;
};

struct ModelResult {
    // Seconds from the fault's start to the last request that was sent to the faulty target outside
    // probation; -1 when requests went on to the end.
    double detectionSeconds = -1;
    long falseEjections = 0;
    long ejections = 0;
    long attempts = 0;
    long successes = 0;
    // Milliseconds from arrival to the first byte, by organisation, of good answers.
    std::map<std::string, std::vector<double>> latenciesMs;
    std::map<std::string, long> admittedByOrganisation;
    std::map<std::string, long> successesByOrganisation;
};

// Runs the decision code of entries and guards against modelled targets under a virtual clock.
ModelResult runModel(const ModelOptions& options);

} // namespace tarragonhaven::testing
