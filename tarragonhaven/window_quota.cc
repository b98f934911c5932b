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
    constexpr double youngShareKept = 0.35;
    // Part of the bound that is divided evenly among nodes that do not hear of each other.
    constexpr double evenShare = 0.85;
    // From this share of the limit on, nodes that are not heard of are asked. At five times the limit the
    // rest lasts for as long as an answer is waited for.
    constexpr double askShare = 0.5;
    // The part of what the sum may exceed the limit by that is not kept free of what silent nodes admit; the
    // rest is for estimates that are late.
    constexpr double unreservedShare = 0.5;
    // Part of the slack that nodes may use near the limit, where each rounds its part up.
    constexpr double slackUsed = 0.3;

} // namespace

std::string_view name(QuotaReason reason)
{
    switch (reason) {
    case QuotaReason::FarBelow:
        return "far-below";
    case QuotaReason::WithinShare:
        return "within-share";
    case QuotaReason::BeyondShare:
        return "beyond-share";
    case QuotaReason::Unsure:
        return "unsure";
    case QuotaReason::WithinEvenPart:
        return "within-even-part";
    case QuotaReason::BeyondEvenPart:
        return "beyond-even-part";
    }
    return "far-below";
}

WindowQuota::Use& WindowQuota::useOf(const std::string& name)
{
    return m_uses.try_emplace(name, m_options.window).first->second;
}

void WindowQuota::noteAsked(const std::string& name, util::Time now)
{
    auto& use = useOf(name);
    use.asked.add(now);
    use.lastAsked = now;
    ++use.asksUnreported;
}

QuotaDecision WindowQuota::decide(
    const std::string& name, double limit, std::size_t nodes, util::Time now, bool final)
{
    auto& use = useOf(name);
    const auto decision = judge(use, limit, nodes, now, final);
    if (decision.admitted) {
        use.admitted.add(now);
        ++use.admittedSinceWord;
    }
    return decision;
}

bool WindowQuota::known(const Use& use, util::Time now) const
{
    return use.elsewhere && now - use.elsewhereAt <= m_options.freshFor;
}

double WindowQuota::askedEverywhere(const std::string& name, util::Time now)
{
    auto& use = useOf(name);
    return use.asked.sum(now) + (known(use, now) ? use.elsewhere->requested : 0.0);
}

QuotaDecision WindowQuota::judge(Use& use, double limit, std::size_t nodes, util::Time now, bool final) const
{
    const auto own = use.admitted.sum(now);
    const auto asked = use.asked.sum(now);
    const auto age = now - use.elsewhereAt;
    if (known(use, now)) {
        const auto& elsewhere = *use.elsewhere;
        const double kept = limit * (1 - elsewhere.recentlyStartedShare * (1 - youngShareKept));
        const double grown
            = use.admittedSinceWord * static_cast<double>(elsewhere.requested) / std::max<double>(1, asked);
        if (own + elsewhere.admitted + grown + 1 <= farBelowShare * kept)
            return { true, QuotaReason::FarBelow, own, elsewhere.admitted, limit, age };
        if (age <= m_options.exactFor) {
            const double share
                = static_cast<double>(asked) / std::max<double>(1, asked + elsewhere.requested);
            const bool within
                = own < kept * share && own + elsewhere.admitted + 1 <= limit + slackUsed * m_options.slack;
            return { within, within ? QuotaReason::WithinShare : QuotaReason::BeyondShare, own,
                elsewhere.admitted, limit, age };
        }
    }
    if (!final)
        return { false, QuotaReason::Unsure, own, 0, limit, age };
    return judgeAlone(use, limit, nodes, now);
}

double WindowQuota::evenPart(double limit, std::size_t nodes) const
{
    const double bound = limit * (1 + m_options.overshoot) + m_options.slack;
    return evenShare * bound / static_cast<double>(std::max<std::size_t>(1, nodes));
}

QuotaUsage WindowQuota::report(const std::string& name, Use& use, util::Time now) const
{
    return { name, use.admitted.sum(now), use.asked.sum(now), young(now) };
}

QuotaUsage WindowQuota::use(const std::string& name, util::Time now)
{
    const auto found = m_uses.find(name);
    return found == m_uses.end() ? QuotaUsage { name, 0, 0, young(now) } : report(name, found->second, now);
}

bool WindowQuota::nearLimit(double admitted, double limit) { return admitted >= askShare * limit; }

double WindowQuota::reserveFor(std::size_t silent, double limit, std::size_t nodes) const
{
    const double margin = limit * m_options.overshoot + m_options.slack;
    return std::max(0.0, static_cast<double>(silent) * evenPart(limit, nodes) - unreservedShare * margin);
}

QuotaDecision WindowQuota::judgeAlone(Use& use, double limit, std::size_t nodes, util::Time now) const
{
    const double kept = young(now) ? youngShareKept : 1;
    const double even = kept * evenPart(limit, nodes);
    const auto own = use.admitted.sum(now);
    const bool within = own + 1 <= std::max(1.0, even);
    return { within, within ? QuotaReason::WithinEvenPart : QuotaReason::BeyondEvenPart, own, 0, limit,
        now - use.elsewhereAt };
}

void WindowQuota::noteElsewhere(const RemoteQuotaUsage& elsewhere, util::Time now)
{
    const auto found = m_uses.find(elsewhere.name);
    if (found == m_uses.end())
        return;
    found->second.elsewhere = elsewhere;
    found->second.elsewhereAt = now;
    found->second.admittedSinceWord = 0;
}

bool WindowQuota::due(const Use& use, util::Time now) const
{
    const auto since = now - use.lastReport;
    if (use.asksUnreported == 0)
        return false;
    return since >= m_options.lazyInterval
        || (since >= m_options.eagerInterval && use.asksUnreported >= m_options.eagerAsks);
}

std::vector<QuotaUsage> WindowQuota::takeReports(util::Time now, const std::string& urgent)
{
    std::vector<QuotaUsage> reports;
    for (auto& [name, use] : m_uses) {
        if (!due(use, now) && (urgent.empty() || name != urgent))
            continue;
        use.asksUnreported = 0;
        use.lastReport = now;
        reports.push_back(report(name, use, now));
    }
    return reports;
}

void WindowQuota::forget(util::Time now)
{
    std::erase_if(
        m_uses, [this, now](const auto& item) { return now - item.second.lastAsked > 2 * m_options.window; });
}

} // namespace tarragonhaven
