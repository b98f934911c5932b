#pragma once

#include "util/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tarragonhaven {

// Retries that wait for a decision of the aggregator of their service.
class PendingRetries {
public:
    using Handler = std::function<void(bool)>;

    struct Retry {
        int rank = 0;
        util::Time deadline {};
        Handler handler;
    };

    // Returns whether no other retry of the service waits, so that the aggregator has to be asked now.
    bool add(const std::string& service, Retry retry);
    // Returns how many retries of the service wait that were not asked for, by rank. They count as asked for
    // from now on.
    std::map<int, std::uint32_t> ask(const std::string& service);
    // Removes the first `count` retries that were asked for, and returns them in order of rank and then of
    // time.
    std::vector<Retry> takeAsked(const std::string& service, std::size_t count);
    // Returns whether retries wait that were not asked for.
    [[nodiscard]] bool hasUnasked(const std::string& service) const;
    // Removes the retries whose deadline has passed, by service.
    std::map<std::string, std::vector<Retry>> takeExpired(util::Time now);
    [[nodiscard]] std::size_t size() const;

private:
    struct Queue {
        // In order of arrival. The first `asked` were asked for.
        std::vector<Retry> retries;
        std::size_t asked = 0;
    };
    std::map<std::string, Queue> m_queues;
};

} // namespace tarragonhaven
