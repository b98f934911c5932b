// A decision costs a map lookup and the steps of the window that have passed since the last one.

#include "tarragonhaven/window_quota.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // Below this share of the limit nothing is refused. A fleet asked for five times the limit uses up the
    // rest in a tenth of the window, which is longer than two reports take.
    constexpr double farBelowShare = 0.75;
    // The part of the limit that is let through while all nodes are young: the other part may have been let
    // through before they started.
    constexpr double youngShareKept = 0.45;
    // Part of the bound that is divided evenly among nodes that do not hear of each other.
    constexpr double evenShare = 0.9;

} // namespace

std::string_view name(QuotaReason reason)
{
    switch (reason) {
    case QuotaReason::Unlimited:
        return "unlimited";
    case QuotaReason::FarBelow:
        return "far-below";
    case QuotaReason::WithinShare:
        return "within-share";
    case QuotaReason::BeyondShare:
        return "beyond-share";
    case QuotaReason::WithinEvenPart:
        return "within-even-part";
    case QuotaReason::BeyondEvenPart:
        return "beyond-even-part";
    }
    return "unlimited";
}

void WindowQuota::noteAsked(const OrganisationName& organisation, util::Time now)
{
    auto& use = m_uses.try_emplace(organisation, m_options.window).first->second;
    use.asked.add(now);
    use.lastAsked = now;
    use.unreported = true;
}

QuotaDecision WindowQuota::decide(const Organisation& organisation, std::size_t nodes, util::Time now)
{
    if (organisation.ratePerSecond <= 0)
        return { true, QuotaReason::Unlimited, 0, 0, 0, {} };
    auto& use = m_uses.try_emplace(organisation.name, m_options.window).first->second;
    const double limit = organisation.ratePerSecond * util::toSeconds(m_options.window) + organisation.burst;
    const auto decision = judge(use, limit, nodes, now);
    if (decision.admitted)
        use.admitted.add(now);
    return decision;
}

QuotaDecision WindowQuota::judge(Use& use, double limit, std::size_t nodes, util::Time now) const
{
    const double bound = limit * (1 + m_options.overshoot) + m_options.slack;
    const auto own = use.admitted.sum(now);
    const auto asked = use.asked.sum(now);
    const auto age = now - use.elsewhereAt;
    if (!use.elsewhere || age > m_options.freshFor) {
        const double part
            = std::max(1.0, evenShare * bound / static_cast<double>(std::max<std::size_t>(1, nodes)));
        const bool within = own + 1 <= part;
        return { within, within ? QuotaReason::WithinEvenPart : QuotaReason::BeyondEvenPart, own, 0, limit,
            age };
    }
    const auto& elsewhere = *use.elsewhere;
    const double kept = limit * (1 - elsewhere.youngShare * (1 - youngShareKept));
    if (own + elsewhere.admitted + 1 <= farBelowShare * kept)
        return { true, QuotaReason::FarBelow, own, elsewhere.admitted, limit, age };
    const double share = static_cast<double>(asked) / std::max<double>(1, asked + elsewhere.asked);
    const bool within = own < kept * share && own + elsewhere.admitted + 1 <= evenShare * bound;
    return { within, within ? QuotaReason::WithinShare : QuotaReason::BeyondShare, own, elsewhere.admitted,
        limit, age };
}

void WindowQuota::noteElsewhere(const QuotaElsewhere& elsewhere, util::Time now)
{
    const auto found = m_uses.find({ elsewhere.organisation });
    if (found == m_uses.end())
        return;
    found->second.elsewhere = elsewhere;
    found->second.elsewhereAt = now;
}

std::vector<QuotaUse> WindowQuota::takeReports(util::Time now, const std::set<OrganisationName>& urgent)
{
    std::vector<QuotaUse> reports;
    const bool young = now - m_started < m_options.window;
    for (auto& [organisation, use] : m_uses) {
        const bool due = use.unreported && now - use.lastReport >= m_options.reportInterval;
        if (!due && !urgent.contains(organisation))
            continue;
        use.unreported = false;
        use.lastReport = now;
        reports.push_back({ organisation.text, use.admitted.sum(now), use.asked.sum(now), young });
    }
    return reports;
}

void WindowQuota::forget(util::Time now)
{
    std::erase_if(
        m_uses, [this, now](const auto& item) { return now - item.second.lastAsked > 2 * m_options.window; });
}

} // namespace tarragonhaven
