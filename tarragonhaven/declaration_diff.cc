// Matches the items of each list by name. Describes the removed items, the added items, and the fields that
// differ in items that both declarations contain.

#include "tarragonhaven/declaration_diff.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    using Sentences = std::vector<std::string>;

    template <typename Item> std::map<std::string, const Item*> indexByName(const std::vector<Item>& items)
    {
        std::map<std::string, const Item*> result;
        for (const auto& item : items)
            result.emplace(item.name.text, &item);
        return result;
    }

    // Calls `onRemoved` for items that are in `before` only, `onAdded` for items that are in `after` only,
    // and `onChanged` for items that are in both but differ.
    template <typename Item, typename OnRemoved, typename OnAdded, typename OnChanged>
    void compareItems(const std::vector<Item>& before, const std::vector<Item>& after, OnRemoved onRemoved,
        OnAdded onAdded, OnChanged onChanged)
    {
        const auto oldItems = indexByName(before);
        const auto newItems = indexByName(after);
        for (const auto& [name, item] : oldItems) {
            if (!newItems.contains(name))
                onRemoved(*item);
        }
        for (const auto& [name, item] : newItems) {
            const auto found = oldItems.find(name);
            if (found == oldItems.end())
                onAdded(*item);
            else if (*found->second != *item)
                onChanged(*found->second, *item);
        }
    }

    void describeKeys(const Organisation& before, const Organisation& after, Sentences& sentences)
    {
        std::set<std::string> oldDigests;
        std::set<std::string> newDigests;
        for (const auto& key : before.keys)
            oldDigests.insert(key.sha256);
        for (const auto& key : after.keys)
            newDigests.insert(key.sha256);
        const auto countMissing = [](const std::set<std::string>& from, const std::set<std::string>& other) {
            return std::count_if(
                from.begin(), from.end(), [&](const auto& key) { return !other.contains(key); });
        };
        if (const auto revoked = countMissing(oldDigests, newDigests))
            sentences.push_back(absl::StrCat("organisation ", after.name.text, ": ", revoked,
                " key(s) stop working within seconds, also on connections that are already open"));
        if (const auto issued = countMissing(newDigests, oldDigests))
            sentences.push_back(
                absl::StrCat("organisation ", after.name.text, ": ", issued, " key(s) start working"));
    }

    void describeOrganisations(const Declaration& before, const Declaration& after, Sentences& sentences)
    {
        compareItems(
            before.organisations, after.organisations,
            [&](const Organisation& removed) {
                sentences.push_back(
                    absl::StrCat("organisation ", removed.name.text, ": removed; its keys stop working"));
            },
            [&](const Organisation& added) {
                sentences.push_back(absl::StrCat("organisation ", added.name.text, ": added with a limit of ",
                    added.ratePerSecond, " requests per second and a burst of ", added.burst, " requests"));
            },
            [&](const Organisation& old, const Organisation& updated) {
                if (old.ratePerSecond != updated.ratePerSecond || old.burst != updated.burst)
                    sentences.push_back(absl::StrCat("organisation ", updated.name.text,
                        ": limit changes from ", old.ratePerSecond, " to ", updated.ratePerSecond,
                        " requests per second, burst from ", old.burst, " to ", updated.burst,
                        " requests at once"));
                describeKeys(old, updated, sentences);
            });
    }

    int totalSlots(const Service& service)
    {
        int slots = 0;
        for (const auto& target : service.targets)
            slots += target.slots;
        return slots;
    }

    void describeTargets(const Service& before, const Service& after, Sentences& sentences)
    {
        compareItems(
            before.targets, after.targets,
            [&](const Target& removed) {
                sentences.push_back(absl::StrCat("target ", removed.name.text,
                    ": removed; gets no new requests and finishes those in progress"));
            },
            [&](const Target& added) {
                sentences.push_back(absl::StrCat("target ", added.name.text, ": added to service ",
                    after.name.text, " with ", added.slots, " slots, guarded by ", added.instance.text));
            },
            [&](const Target& old, const Target& updated) {
                sentences.push_back(absl::StrCat("target ", updated.name.text, ": slots from ", old.slots,
                    " to ", updated.slots, ", address from ", toString(old.address), " to ",
                    toString(updated.address), ", guard instance from ", old.instance.text, " to ",
                    updated.instance.text));
            });
    }

    void describeServices(const FleetIndex& before, const FleetIndex& after, Sentences& sentences)
    {
        compareItems(
            before.services, after.services,
            [&](const Service& removed) {
                sentences.push_back(absl::StrCat("service ", removed.name.text, ": removed"));
            },
            [&](const Service& added) {
                sentences.push_back(absl::StrCat("service ", added.name.text, ": added with ",
                    added.targets.size(), " targets and ", totalSlots(added), " slots"));
            },
            [&](const Service& old, const Service& updated) {
                if (old.floorPercent != updated.floorPercent)
                    sentences.push_back(
                        absl::StrCat("service ", updated.name.text, ": ejection floor changes to ",
                            updated.floorPercent, "% of the slots, from ", old.floorPercent, "%"));
                if (old.sensitivity != updated.sensitivity)
                    sentences.push_back(absl::StrCat(
                        "service ", updated.name.text, ": ejection sensitivity (stance) changes"));
                describeTargets(old, updated, sentences);
            });
    }

    void describeRoutes(const FleetIndex& before, const FleetIndex& after, Sentences& sentences)
    {
        compareItems(
            before.routes, after.routes,
            [&](const Route& removed) {
                sentences.push_back(absl::StrCat("route ", removed.name.text, ": removed; ", removed.method,
                    " ", removed.pattern, " is refused as an unknown route"));
            },
            [&](const Route& added) {
                sentences.push_back(absl::StrCat("route ", added.name.text, ": added; ", added.method, " ",
                    added.pattern, " is routed to service ", added.service.text,
                    added.openToAll ? ", open to callers without a key" : ""));
            },
            [&](const Route& old, const Route& updated) {
                sentences.push_back(absl::StrCat("route ", updated.name.text, ": definition changes"));
                if (!old.openToAll && updated.openToAll)
                    sentences.push_back(
                        absl::StrCat("route ", updated.name.text, ": opens to callers without a key"));
                if (!old.idempotent && updated.idempotent)
                    sentences.push_back(absl::StrCat("route ", updated.name.text,
                        ": becomes idempotent; requests may be sent to a target again after a failure"));
                if (old.idempotencyKeyRule == IdempotencyKeyRule::Required
                    && updated.idempotencyKeyRule != IdempotencyKeyRule::Required)
                    sentences.push_back(absl::StrCat("route ", updated.name.text,
                        ": idempotency keys are no longer required; requests that callers repeat are not "
                        "detected"));
            });
    }

    void describeInstances(const FleetIndex& before, const FleetIndex& after, Sentences& sentences)
    {
        compareItems(
            before.instances, after.instances,
            [&](const Instance& removed) {
                sentences.push_back(absl::StrCat("instance ", removed.name.text, ": removed"));
            },
            [&](const Instance& added) {
                sentences.push_back(
                    absl::StrCat("instance ", added.name.text, ": added in ", added.dataCentre.text));
            },
            [&](const Instance&, const Instance& updated) {
                sentences.push_back(
                    absl::StrCat("instance ", updated.name.text, ": addresses or data centre change"));
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
        sentences.push_back(
            "ownership groups change; a new owner of an organisation starts with an empty token bucket");
    return sentences;
}

} // namespace tarragonhaven
