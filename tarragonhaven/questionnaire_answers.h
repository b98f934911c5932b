#pragma once

#include "tarragonhaven/organisation.h"
#include "tarragonhaven/service.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragonhaven {

// A kind of request of a service, in a new team's words.
struct RequestAnswer {
    std::string name;
    std::string method;
    std::string path;
    // Sending it twice does the same as sending it once.
    bool idempotent = false;
    // Running it twice does harm, so callers must bring an idempotency key.
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
    // What weighs more for this service: finding failing targets fast, or never losing a sound one.
    EjectionSensitivity sensitivity = EjectionSensitivity::Balanced;
    std::vector<RequestAnswer> requests;

    friend auto operator<=>(const ServiceAnswer&, const ServiceAnswer&) = default;
    friend bool operator==(const ServiceAnswer&, const ServiceAnswer&) = default;
};

// Where instances listen. In a pattern "{d}" stands for the number of the data centre and "{n}" for that of
// the instance within it, both from 1. Without "{n}" instances share an address and their ports count up.
struct AddressAnswer {
    std::string pattern;
    int callerPort = 0;
    int peerPort = 0;
    int targetPort = 0;

    friend auto operator<=>(const AddressAnswer&, const AddressAnswer&) = default;
    friend bool operator==(const AddressAnswer&, const AddressAnswer&) = default;
};

// A new team's answers, from which a declaration is generated.
struct QuestionnaireAnswers {
    std::string fleet;
    std::vector<std::string> dataCentres;
    AddressAnswer addresses;
    std::vector<ServiceAnswer> services;
    std::vector<Organisation> organisations;

    friend bool operator==(const QuestionnaireAnswers&, const QuestionnaireAnswers&) = default;
};

} // namespace tarragonhaven
