#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/organisation.h"
#include "tarragonhaven/quota_use.h"
#include "tarragonhaven/sliding_count.h"
#include "util/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tarragonhaven {

struct QuotaOptions {
    util::Duration window = std::chrono::seconds(5);
    // By how much the sum over all nodes may exceed rate x window + burst: a share of it, and a number.
    double overshoot = 0.25;
    double slack = 20;
    // How long another node's word on use elsewhere is relied on.
    util::Duration freshFor = std::chrono::milliseconds(1500);
    // The least time between two reports of an organisation.
    util::Duration reportInterval = std::chrono::milliseconds(250);
};

// Why a request was admitted or refused.
enum class QuotaReason {
    // The organisation has no limit.
    Unlimited,
    // All nodes together are far from the limit.
    FarBelow,
    // Within this node's part of the limit, by what is asked of it and elsewhere.
    WithinShare,
    BeyondShare,
    // Use elsewhere is not known: within or beyond this node's even part.
    WithinEvenPart,
    BeyondEvenPart,
};

std::string_view name(QuotaReason reason);

struct QuotaDecision {
    bool admitted = false;
    QuotaReason reason = QuotaReason::Unlimited;
    // Requests in the window at this node and elsewhere, the limit over all nodes, and the age of what is
    // known of elsewhere.
    std::uint32_t own = 0;
    std::uint32_t elsewhere = 0;
    double limit = 0;
    util::Duration age {};

    friend auto operator<=>(const QuotaDecision&, const QuotaDecision&) = default;
    friend bool operator==(const QuotaDecision&, const QuotaDecision&) = default;
};

// One node's part in keeping organisations within rate x window + burst over all nodes. Nodes report what
// they let through to one node for each organisation, which answers with the sum of the others'. While all
// together stay well below the limit nothing is refused; near it, each node lets through the part of the
// limit that it has of all that is asked. A node that knows nothing of the others lets through an even part.
//
// The sum over all nodes stays within limit x (1 + overshoot) + slack as long as what is asked grows by less
// than that margin between two reports. See docs/PROOFS.md for what is not covered.
class WindowQuota {
public:
    WindowQuota(QuotaOptions options, util::Time started)
        : m_options(options)
        , m_started(started)
    {
    }

    // Notes that a request is asked for. decide() follows, more than once if need be.
    void noteAsked(const OrganisationName& organisation, util::Time now);
    // Decides on one request, and counts it when it is admitted. `nodes` is the number of nodes that may take
    // requests.
    QuotaDecision decide(const Organisation& organisation, std::size_t nodes, util::Time now);
    void noteElsewhere(const QuotaElsewhere& elsewhere, util::Time now);
    // The reports that are due, and those of organisations that `urgent` names.
    std::vector<QuotaUse> takeReports(util::Time now, const std::set<OrganisationName>& urgent = {});
    // Drops organisations without requests for two windows.
    void forget(util::Time now);

private:
    struct Use {
        explicit Use(util::Duration window)
            : admitted(window)
            , asked(window)
        {
        }
        SlidingCount admitted;
        SlidingCount asked;
        std::optional<QuotaElsewhere> elsewhere;
        util::Time elsewhereAt {};
        util::Time lastAsked {};
        util::Time lastReport {};
        bool unreported = false;
    };

    [[nodiscard]] QuotaDecision judge(Use& use, double limit, std::size_t nodes, util::Time now) const;

    QuotaOptions m_options;
    util::Time m_started;
    std::map<OrganisationName, Use> m_uses;
};

} // namespace tarragonhaven
