#pragma once

// A simulation of one service under load, for comparing policies of target choice, ejection and queueing.
// Entry nodes and guards run the production classes ServiceHealth, chooseTarget() and SlotQueue; targets,
// links and arrivals are modelled in virtual time. A run is determined by its options and seed. Links lose no
// messages, and nodes do not fail.

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

// The policy that the modelled entry nodes and guards follow.
enum class Policy {
    // The policy of this project: ejection by evidence down to a floor, the cheaper of two randomly drawn
    // targets, and slots shared fairly between organisations.
    Ours,
    // Uses the targets in turn, ejects none, and queues first come, first served.
    RoundRobin,
    // Uses the targets in turn and queues first come, first served. An entry node stops using a target for
    // 30 s after five consecutive failed requests to it.
    ConsecutiveErrors,
};

std::string_view toString(Policy policy);

// A fault of one target, or of all targets of the service, from `startSecond` on.
struct ModelFault {
    int target = 0;
    double startSecond = 0;
    // The factor by which service times are longer.
    double slowFactor = 1;
    // The share of requests that fail.
    double failShare = 0;
    // Whether requests get no response before their deadline.
    bool hangs = false;
    // The period of an intermittent fault: the target is faulty in the first half of each period and healthy
    // in the second half. 0 for a steady fault.
    double flapPeriodSeconds = 0;
    // Whether the fault affects every target; `target` is then ignored.
    bool affectsAllTargets = false;
};

struct ModelOrganisation {
    std::string name;
    double ratePerSecond = 10;
    // The service time of the organisation's requests relative to that of others.
    double serviceTimeFactor = 1;
    // The rate limit, above which the entry node refuses requests, with a burst of one second of this rate;
    // 0 for no limit.
    double limitPerSecond = 0;
};

// The deployment of one service, its load and its faults.
struct ModelOptions {
    Policy policy = Policy::Ours;
    int targets = 6;
    // Slots per target.
    int slots = 5;
    int entryNodes = 12;
    int dataCentres = 3;
    int floorPercent = 60;
    EjectionSensitivity sensitivity = EjectionSensitivity::Fast;
    double medianServiceMs = 40;
    // The standard deviation of the natural logarithm of the service time.
    double serviceTimeSigma = 0.4;
    // The latency of a link between an entry node and a guard, in one direction.
    double linkLatencyMs = 0.5;
    // The share of requests that fail at targets without a fault.
    double backgroundFailShare = 0.002;
    double durationSeconds = 60;
    double deadlineSeconds = 5;
    std::vector<ModelOrganisation> organisations;
    std::vector<ModelFault> faults;
    std::uint64_t seed = 1;
};

struct ModelResult {
    // Seconds from the start of the first fault to the last request that was sent to its target other than
    // as a probe during probation. -1 if such requests went on until the last second of the run, or if there
    // was no fault; 0 if the first fault affects the whole service.
    double detectionSeconds = -1;
    // Ejections of targets without a fault, and all ejections during a fault of the whole service.
    long falseEjections = 0;
    long ejections = 0;
    // Requests sent to targets, including retries.
    long attempts = 0;
    long successes = 0;
    // Milliseconds from arrival to the first byte of the response, for successful requests, by organisation.
    std::map<std::string, std::vector<double>> latenciesMs;
    // Requests that the rate limit let through.
    std::map<std::string, long> admittedByOrganisation;
    std::map<std::string, long> successesByOrganisation;
};

// Runs the simulation and returns its result.
ModelResult runModel(const ModelOptions& options);

} // namespace tarragonhaven::testing
