// Parses and writes answers as JSON. The ranges of numbers are at most those that a declaration allows, see
// declaration_parse.cc.

#include "tarragonhaven/questionnaire.h"
#include "util/json_reader.h"

namespace tarragonhaven {

namespace {

    using nlohmann::ordered_json;
    using util::JsonReader;

    constexpr std::int64_t answersVersion = 1;
    constexpr std::int64_t maximumTargets = 1000;
    constexpr std::int64_t maximumSlots = 10'000;
    constexpr std::int64_t defaultDeadlineMs = 10'000;
    constexpr std::int64_t maximumDeadlineMs = 3'600'000;
    constexpr std::int64_t maximumPort = 60'000;
    // 3000-01-01 in seconds since 1970.
    constexpr std::int64_t maximumNotAfter = 32'503'680'000;
    constexpr std::int64_t maximumBurst = 10'000'000;
    constexpr double minimumRatePerSecond = 0.001;
    constexpr double maximumRatePerSecond = 10'000'000;

    RequestAnswer readRequest(JsonReader& reader)
    {
        RequestAnswer request;
        request.name = reader.text("name");
        request.method = reader.text("method");
        request.path = reader.text("path");
        request.idempotent = reader.booleanOr("idempotent", false);
        request.harmfulIfRepeated = reader.booleanOr("harmfulTwice", false);
        request.openToAll = reader.booleanOr("openToAll", false);
        request.deadlineMs = reader.integerOr("deadlineMs", 1, maximumDeadlineMs, defaultDeadlineMs);
        return request;
    }

    EjectionSensitivity readSensitivityAnswer(JsonReader& reader)
    {
        const auto text = reader.textOr("weighsMore", "both");
        if (text == "detection")
            return EjectionSensitivity::Fast;
        if (text == "false-ejections")
            return EjectionSensitivity::Careful;
        if (text != "both")
            reader.addFault("weighsMore", "is not one of detection, false-ejections, both");
        return EjectionSensitivity::Balanced;
    }

    const char* sensitivityAnswerText(EjectionSensitivity sensitivity)
    {
        switch (sensitivity) {
        case EjectionSensitivity::Fast:
            return "detection";
        case EjectionSensitivity::Careful:
            return "false-ejections";
        case EjectionSensitivity::Balanced:
            break;
        }
        return "both";
    }

    ServiceAnswer readService(JsonReader& reader)
    {
        ServiceAnswer service;
        service.name = reader.text("name");
        service.targets = static_cast<int>(reader.integer("targets", 1, maximumTargets));
        service.slots = static_cast<int>(reader.integer("slots", 1, maximumSlots));
        service.floorPercent = static_cast<int>(reader.integerOr("floorPercent", 0, 100, 50));
        service.sensitivity = readSensitivityAnswer(reader);
        reader.objects("requests", [&](JsonReader& item) { service.requests.push_back(readRequest(item)); });
        return service;
    }

    Organisation readOrganisation(JsonReader& reader)
    {
        Organisation organisation;
        organisation.name = { reader.text("name") };
        organisation.ratePerSecond
            = reader.decimal("ratePerSecond", minimumRatePerSecond, maximumRatePerSecond);
        organisation.burst = static_cast<int>(reader.integer("burst", 1, maximumBurst));
        reader.optionalObjects("keys", [&](JsonReader& item) {
            const auto digest = item.text("sha256");
            organisation.keys.push_back({ digest, item.integerOr("notAfter", 0, maximumNotAfter, 0) });
        });
        return organisation;
    }

    void readAddresses(JsonReader& reader, AddressAnswer& addresses)
    {
        addresses.pattern = reader.text("addressPattern");
        addresses.callerPort = static_cast<int>(reader.integer("callerPort", 1, maximumPort));
        addresses.peerPort = static_cast<int>(reader.integer("peerPort", 1, maximumPort));
        addresses.targetPort = static_cast<int>(reader.integer("targetPort", 1, maximumPort));
    }

    ordered_json toJson(const ServiceAnswer& service)
    {
        auto requests = ordered_json::array();
        for (const auto& request : service.requests) {
            requests.push_back(
                { { "name", request.name }, { "method", request.method }, { "path", request.path },
                    { "idempotent", request.idempotent }, { "harmfulTwice", request.harmfulIfRepeated },
                    { "openToAll", request.openToAll }, { "deadlineMs", request.deadlineMs } });
        }
        return { { "name", service.name }, { "targets", service.targets }, { "slots", service.slots },
            { "floorPercent", service.floorPercent },
            { "weighsMore", sensitivityAnswerText(service.sensitivity) }, { "requests", requests } };
    }

    ordered_json toJson(const Organisation& organisation)
    {
        auto keys = ordered_json::array();
        for (const auto& key : organisation.keys)
            keys.push_back({ { "sha256", key.sha256 }, { "notAfter", key.notAfter } });
        return { { "name", organisation.name.text }, { "ratePerSecond", organisation.ratePerSecond },
            { "burst", organisation.burst }, { "keys", keys } };
    }

} // namespace

util::Checked<QuestionnaireAnswers> parseAnswers(const std::string& text)
{
    const auto document = util::parseJsonObject(text);
    if (!document)
        return tl::unexpected(document.error());
    util::Faults faults;
    JsonReader reader(*document, "", faults);
    QuestionnaireAnswers answers;
    reader.integer("answersVersion", answersVersion, answersVersion);
    answers.fleet = reader.text("fleet");
    answers.dataCentres = reader.optionalTexts("dataCentres");
    if (answers.dataCentres.empty())
        reader.addFault("dataCentres", "must not be empty");
    readAddresses(reader, answers.addresses);
    reader.objects("services", [&](JsonReader& item) { answers.services.push_back(readService(item)); });
    reader.objects(
        "organisations", [&](JsonReader& item) { answers.organisations.push_back(readOrganisation(item)); });
    reader.rejectUnknownFields();
    if (!faults.empty())
        return tl::unexpected(faults);
    return answers;
}

std::string writeAnswers(const QuestionnaireAnswers& answers)
{
    ordered_json document;
    document["answersVersion"] = answersVersion;
    document["fleet"] = answers.fleet;
    document["dataCentres"] = answers.dataCentres;
    document["addressPattern"] = answers.addresses.pattern;
    document["callerPort"] = answers.addresses.callerPort;
    document["peerPort"] = answers.addresses.peerPort;
    document["targetPort"] = answers.addresses.targetPort;
    document["services"] = ordered_json::array();
    for (const auto& service : answers.services)
        document["services"].push_back(toJson(service));
    document["organisations"] = ordered_json::array();
    for (const auto& organisation : answers.organisations)
        document["organisations"].push_back(toJson(organisation));
    return document.dump(2) + "\n";
}

} // namespace tarragonhaven
