#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/retry_budget.h"
#include "util/time.h"

#include <map>

namespace tarragonhaven {

// Decides whether a request may be sent to a second target of a service. Used on the traffic thread.
class RetryGate {
public:
    virtual ~RetryGate() = default;
    virtual void noteFirstTry(const ServiceName& service) = 0;
    // Takes one retry. Returns false when the bound is reached.
    virtual bool takeRetry(const ServiceName& service) = 0;
};

// A bound for this node alone.
class LocalRetryGate : public RetryGate {
public:
    void noteFirstTry(const ServiceName& service) override { m_budgets[service].noteFirstTry(); }
    bool takeRetry(const ServiceName& service) override { return m_budgets[service].takeRetry(); }

private:
    std::map<ServiceName, RetryBudget> m_budgets;
};

} // namespace tarragonhaven
