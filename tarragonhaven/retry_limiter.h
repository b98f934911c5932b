#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/retry_budget.h"
#include "util/time.h"

#include <functional>
#include <map>

namespace tarragonhaven {

// Decides whether a request may be sent to another target of its service after the first attempt. Used on the
// traffic thread.
class RetryLimiter {
public:
    using Handler = std::function<void(bool)>;

    virtual ~RetryLimiter() = default;
    virtual void recordFirstAttempt(const ServiceName& service) = 0;
    // Records a nested request of a run that was itself a repeat. It counts as a retry, but is never refused.
    virtual void recordNestedRepeat(const ServiceName& service) = 0;
    // Takes one retry for a request of a rank. The handler receives false if the limit is reached. It runs
    // inside the call, or a moment later on the same thread.
    virtual void acquireRetry(const ServiceName& service, int rank, Handler handler) = 0;
    // Takes one retry without asking another node. Returns false if the limit is reached.
    virtual bool tryAcquireRetry(const ServiceName& service) = 0;
    // Takes one retry for a hedge. Returns false if half of the limit is used, because failed requests need
    // the rest more.
    virtual bool tryAcquireHedge(const ServiceName& service) = 0;
    // Gives back a retry that reached no target.
    virtual void returnRetry(const ServiceName& service) = 0;
};

// A limit that covers this node alone.
class LocalRetryLimiter : public RetryLimiter {
public:
    void recordFirstAttempt(const ServiceName& service) override { m_budgets[service].recordFirstAttempt(); }
    void recordNestedRepeat(const ServiceName& service) override { m_budgets[service].recordNestedRepeat(); }
    void acquireRetry(const ServiceName& service, int, Handler handler) override
    {
        handler(tryAcquireRetry(service));
    }
    bool tryAcquireRetry(const ServiceName& service) override { return m_budgets[service].tryAcquireRetry(); }
    bool tryAcquireHedge(const ServiceName& service) override { return m_budgets[service].tryAcquireHedge(); }
    void returnRetry(const ServiceName& service) override { m_budgets[service].returnRetry(); }

private:
    std::map<ServiceName, RetryBudget> m_budgets;
};

} // namespace tarragonhaven
