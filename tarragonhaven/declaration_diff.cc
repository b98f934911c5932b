// Items are matched by name. For each list: what is gone, what is new, and for what stays, each field that
// differs.

#include "tarragonhaven/declaration_diff.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    using Sentences = std::vector<std::string>;

    template <typename Item> std::map<std::string, const Item*> byName(const std::vector<Item>& items)
    {
        std::map<std::string, const Item*> result;
        for (const auto& item : items)
            result.emplace(item.name.text, &item);
        return result;
    }

    // Calls `gone`, `added` and `kept` for the items of two lists.
    template <typename Item, typename Gone, typename Added, typename Kept>
    void compare(
        const std::vector<Item>& before, const std::vector<Item>& after, Gone gone, Added added, Kept kept)
    {
        const auto old = byName(before);
        const auto now = byName(after);
        for (const auto& [name, item] : old) {
            if (!now.contains(name))
                gone(*item);
        }
        for (const auto& [name, item] : now) {
            const auto found = old.find(name);
            if (found == old.end())
                added(*item);
            else if (*found->second != *item)
                kept(*found->second, *item);
        }
    }

    void describeKeys(const Organisation& before, const Organisation& after, Sentences& sentences)
    {
        std::set<std::string> old;
        std::set<std::string> now;
        for (const auto& key : before.keys)
            old.insert(key.sha256);
        for (const auto& key : after.keys)
            now.insert(key.sha256);
        const auto count = [](const std::set<std::string>& from, const std::set<std::string>& other) {
            return std::count_if(
                from.begin(), from.end(), [&](const auto& key) { return !other.contains(key); });
        };
        if (const auto withdrawn = count(old, now))
            sentences.push_back(absl::StrCat("organisation ", after.name.text, ": ", withdrawn,
                " key(s) stop working within seconds, also for callers that are connected"));
        if (const auto issued = count(now, old))
            sentences.push_back(
                absl::StrCat("organisation ", after.name.text, ": ", issued, " key(s) start working"));
    }

    void describeOrganisations(const Declaration& before, const Declaration& after, Sentences& sentences)
    {
        compare(
            before.organisations, after.organisations,
            [&](const Organisation& gone) {
                sentences.push_back(
                    absl::StrCat("organisation ", gone.name.text, ": removed; its keys stop working"));
            },
            [&](const Organisation& added) {
                sentences.push_back(absl::StrCat("organisation ", added.name.text, ": may send ",
                    added.ratePerSecond, " requests a second, ", added.burst, " at once"));
            },
            [&](const Organisation& old, const Organisation& now) {
                if (old.ratePerSecond != now.ratePerSecond || old.burst != now.burst)
                    sentences.push_back(absl::StrCat("organisation ", now.name.text, ": from ",
                        old.ratePerSecond, " to ", now.ratePerSecond, " requests a second, from ", old.burst,
                        " to ", now.burst, " at once"));
                describeKeys(old, now, sentences);
            });
    }

    int slotsOf(const Service& service)
    {
        int slots = 0;
        for (const auto& target : service.targets)
            slots += target.slots;
        return slots;
    }

    void describeTargets(const Service& before, const Service& after, Sentences& sentences)
    {
        compare(
            before.targets, after.targets,
            [&](const Target& gone) {
                sentences.push_back(
                    absl::StrCat("target ", gone.name.text, ": gets no new work and finishes what it has"));
            },
            [&](const Target& added) {
                sentences.push_back(absl::StrCat("target ", added.name.text, ": joins service ",
                    after.name.text, " with ", added.slots, " slots, guarded by ", added.instance.text));
            },
            [&](const Target& old, const Target& now) {
                sentences.push_back(absl::StrCat("target ", now.name.text, ": slots ", old.slots, " to ",
                    now.slots, ", address ", toString(old.address), " to ", toString(now.address),
                    ", guarded by ", old.instance.text, " then ", now.instance.text));
            });
    }

    void describeServices(const FleetIndex& before, const FleetIndex& after, Sentences& sentences)
    {
        compare(
            before.services, after.services,
            [&](const Service& gone) {
                sentences.push_back(absl::StrCat("service ", gone.name.text, ": removed"));
            },
            [&](const Service& added) {
                sentences.push_back(absl::StrCat("service ", added.name.text, ": added with ",
                    added.targets.size(), " targets and ", slotsOf(added), " slots"));
            },
            [&](const Service& old, const Service& now) {
                if (old.floorPercent != now.floorPercent)
                    sentences.push_back(absl::StrCat("service ", now.name.text, ": ejection leaves ",
                        now.floorPercent, "% of the slots in use instead of ", old.floorPercent, "%"));
                if (old.sensitivity != now.sensitivity)
                    sentences.push_back(
                        absl::StrCat("service ", now.name.text, ": another stance on ejection"));
                describeTargets(old, now, sentences);
            });
    }

    void describeRoutes(const FleetIndex& before, const FleetIndex& after, Sentences& sentences)
    {
        compare(
            before.routes, after.routes,
            [&](const Route& gone) {
                sentences.push_back(absl::StrCat("route ", gone.name.text, ": ", gone.method, " ",
                    gone.pattern, " is answered as unknown"));
            },
            [&](const Route& added) {
                sentences.push_back(
                    absl::StrCat("route ", added.name.text, ": ", added.method, " ", added.pattern,
                        " leads to service ", added.service.text, added.openToAll ? ", open to all" : ""));
            },
            [&](const Route& old, const Route& now) {
                sentences.push_back(absl::StrCat("route ", now.name.text, ": changes"));
                if (!old.openToAll && now.openToAll)
                    sentences.push_back(
                        absl::StrCat("route ", now.name.text, ": opens to callers without a key"));
                if (!old.idempotent && now.idempotent)
                    sentences.push_back(absl::StrCat(
                        "route ", now.name.text, ": requests may be sent to a target again after a failure"));
                if (old.idempotencyKeyRule == IdempotencyKeyRule::Required
                    && now.idempotencyKeyRule != IdempotencyKeyRule::Required)
                    sentences.push_back(absl::StrCat(
                        "route ", now.name.text, ": repetitions by callers are no longer recognised"));
            });
    }

    void describeInstances(const FleetIndex& before, const FleetIndex& after, Sentences& sentences)
    {
        compare(
            before.instances, after.instances,
            [&](const Instance& gone) {
                sentences.push_back(absl::StrCat("instance ", gone.name.text, ": removed"));
            },
            [&](const Instance& added) {
                sentences.push_back(
                    absl::StrCat("instance ", added.name.text, ": added in ", added.dataCentre.text));
            },
            [&](const Instance&, const Instance& now) {
                sentences.push_back(
                    absl::StrCat("instance ", now.name.text, ": other addresses or data centre"));
            });
    }

} // namespace

std::vector<std::string> describeChange(const Declaration& before, const Declaration& after)
{
    Sentences sentences;
    describeInstances(before.index, after.index, sentences);
    describeServices(before.index, after.index, sentences);
    describeRoutes(before.index, after.index, sentences);
    describeOrganisations(before, after, sentences);
    if (before.index.groups != after.index.groups)
        sentences.push_back("ownership groups: members change; owners that move start with empty buckets");
    return sentences;
}

} // namespace tarragonhaven
