#pragma once

#include "tarragonhaven/admission.h"

namespace tarragonhaven::testing {

// Admits every request and issues no idempotency keys.
class AllowAllAdmission : public Admission {
public:
    void admit(const AdmissionRequest&, OutcomeHandler<void> handler) override { handler({}); }
    void recordOutcome(const AdmissionRequest&, IdempotencyOutcome, int) override { }
    std::string issueIdempotencyKey(const OrganisationName&) override { return {}; }
};

} // namespace tarragonhaven::testing
