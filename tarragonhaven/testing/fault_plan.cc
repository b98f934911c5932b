#include "tarragonhaven/testing/fault_plan.h"

#include <nlohmann/json.hpp>

namespace tarragonhaven::testing {

FaultPlan parseFaultPlan(const std::string& text)
{
    FaultPlan plan;
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return plan;
    plan.serviceMs = document.value("serviceMs", plan.serviceMs);
    plan.slowFactor = document.value("slowFactor", plan.slowFactor);
    plan.failShare = document.value("failShare", plan.failShare);
    plan.unframedShare = document.value("unframedShare", plan.unframedShare);
    plan.cutShare = document.value("cutShare", plan.cutShare);
    plan.longTrailerShare = document.value("longTrailerShare", plan.longTrailerShare);
    plan.hang = document.value("hang", plan.hang);
    plan.dropAll = document.value("dropAll", plan.dropAll);
    plan.crashOnPath = document.value("crashOnPath", plan.crashOnPath);
    plan.crashMs = document.value("crashMs", plan.crashMs);
    plan.flapPeriodMs = document.value("flapPeriodMs", plan.flapPeriodMs);
    plan.coldMs = document.value("coldMs", plan.coldMs);
    plan.coldFactor = document.value("coldFactor", plan.coldFactor);
    plan.draining = document.value("draining", plan.draining);
    plan.lyingHealth = document.value("lyingHealth", plan.lyingHealth);
    plan.slots = document.value("slots", plan.slots);
    return plan;
}

} // namespace tarragonhaven::testing
