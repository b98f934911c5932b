#pragma once

#include "tarragonhaven/admission.h"

namespace tarragonhaven {

// Admits every request. Used until limits and identities are decided by the control thread.
class OpenAdmission : public Admission {
public:
    void admit(const AdmissionRequest&, OutcomeHandler<void> handler) override { handler({}); }
    void settle(const AdmissionRequest&, IdentityOutcome, int) override { }
    std::string issueIdentity(const OrganisationName&) override { return {}; }
};

} // namespace tarragonhaven
