#pragma once

#include "tarragonhaven/organisation.h"
#include "tarragonhaven/service.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragonhaven {

// A kind of request that a service answers. Becomes a route.
struct RequestAnswer {
    std::string name;
    std::string method;
    std::string path;
    // Whether running the request twice has the same effect as running it once.
    bool idempotent = false;
    // Whether running the request twice does harm, so that callers must send an idempotency key.
    bool harmfulIfRepeated = false;
    bool openToAll = false;
    std::int64_t deadlineMs = 0;

    friend auto operator<=>(const RequestAnswer&, const RequestAnswer&) = default;
    friend bool operator==(const RequestAnswer&, const RequestAnswer&) = default;
};

struct ServiceAnswer {
    std::string name;
    int targets = 1;
    int slots = 1;
    int floorPercent = 50;
    // Whether it matters more for this service to detect failing targets fast or to avoid false ejections.
    EjectionSensitivity sensitivity = EjectionSensitivity::Balanced;
    std::vector<RequestAnswer> requests;

    friend auto operator<=>(const ServiceAnswer&, const ServiceAnswer&) = default;
    friend bool operator==(const ServiceAnswer&, const ServiceAnswer&) = default;
};

// The addresses of instances and targets. In the pattern, "{d}" is replaced by the number of the data centre
// and "{n}" by the number of the instance in the data centre; both start at 1. Without "{n}", instances share
// an address, and each port is the given port plus the index of the instance in the fleet.
struct AddressAnswer {
    std::string pattern;
    int callerPort = 0;
    int peerPort = 0;
    int targetPort = 0;

    friend auto operator<=>(const AddressAnswer&, const AddressAnswer&) = default;
    friend bool operator==(const AddressAnswer&, const AddressAnswer&) = default;
};

// The answers from which the declaration of a new fleet is generated.
struct QuestionnaireAnswers {
    std::string fleet;
    std::vector<std::string> dataCentres;
    AddressAnswer addresses;
    std::vector<ServiceAnswer> services;
    std::vector<Organisation> organisations;

    friend bool operator==(const QuestionnaireAnswers&, const QuestionnaireAnswers&) = default;
};

} // namespace tarragonhaven
