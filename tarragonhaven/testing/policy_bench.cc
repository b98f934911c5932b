// Prints the measures of docs/MEASURES.md: detection time, false ejections, goodput, and the service that the
// worst-served organisation gets. Each measure is taken for one service of each deployment, over twenty seeds
// (one seed for overload), for the policy of this project and for baseline policies.

#include "tarragonhaven/testing/policy_model.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

namespace {

    constexpr std::uint64_t seedCount = 20;

    struct Deployment {
        std::string name;
        ModelOptions options;
    };

    ModelOptions qaliOptions()
    {
        ModelOptions options;
        options.organisations = { { "district", 60 }, { "portal", 40 }, { "school", 8 }, { "audit", 2 } };
        return options;
    }

    ModelOptions omaruruOptions()
    {
        ModelOptions options;
        options.targets = 11;
        options.slots = 3;
        options.entryNodes = 16;
        options.dataCentres = 4;
        options.floorPercent = 75;
        options.sensitivity = EjectionSensitivity::Careful;
        options.linkLatencyMs = 1.5;
        options.organisations
            = { { "counter", 80 }, { "services", 60 }, { "theatre", 10 }, { "carnival", 4 } };
        return options;
    }

    // Returns -1 if there are no values.
    double quantile(std::vector<double> values, double probability)
    {
        if (values.empty())
            return -1;
        std::sort(values.begin(), values.end());
        return values[std::min(
            values.size() - 1, static_cast<std::size_t>(probability * static_cast<double>(values.size())))];
    }

    // Prints one line per policy: the median and the longest detection time, the runs in which the fault was
    // not detected, false and all ejections, the share of admitted requests that succeeded, and the 99th
    // percentile of latency.
    void measureScenario(
        const std::string& scenario, const Deployment& deployment, const ModelOptions& options)
    {
        for (const auto policy : { Policy::Ours, Policy::RoundRobin, Policy::ConsecutiveErrors }) {
            std::vector<double> detectionTimes;
            long undetectedCount = 0;
            long falseEjections = 0;
            long ejections = 0;
            long admitted = 0;
            long successes = 0;
            std::vector<double> latencies;
            for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
                auto runOptions = options;
                runOptions.policy = policy;
                runOptions.seed = seed;
                const auto result = runModel(runOptions);
                undetectedCount += result.detectionSeconds < 0 ? 1 : 0;
                if (result.detectionSeconds >= 0)
                    detectionTimes.push_back(result.detectionSeconds);
                falseEjections += result.falseEjections;
                ejections += result.ejections;
                successes += result.successes;
                for (const auto& [name, count] : result.admittedByOrganisation)
                    admitted += count;
                for (const auto& [name, values] : result.latenciesMs)
                    latencies.insert(latencies.end(), values.begin(), values.end());
            }
            std::printf("%-22s %-8s %-19s %8.2f %8.2f %4ld %7ld %7ld %8.4f %9.1f\n", scenario.c_str(),
                deployment.name.c_str(), std::string(toString(policy)).c_str(), quantile(detectionTimes, 0.5),
                quantile(detectionTimes, 1), undetectedCount, falseEjections, ejections,
                static_cast<double>(successes) / static_cast<double>(admitted), quantile(latencies, 0.99));
        }
    }

    ModelFault faultAtSecond20()
    {
        ModelFault fault;
        fault.startSecond = 20;
        return fault;
    }

    void measureFaults(const Deployment& deployment)
    {
        auto options = deployment.options;
        measureScenario("steady", deployment, options);
        struct FaultCase {
            const char* name;
            double slowFactor;
            double failShare;
            bool hangs;
            double flapPeriodSeconds;
            bool affectsAllTargets;
        };
        for (const auto& item : { FaultCase { "10 times slower", 10, 0, false, 0, false },
                 FaultCase { "3 times slower", 3, 0, false, 0, false },
                 FaultCase { "fails every request", 1, 1, false, 0, false },
                 FaultCase { "fails one in five", 1, 0.2, false, 0, false },
                 FaultCase { "hangs", 1, 0, true, 0, false },
                 FaultCase { "flaps, 4 s", 10, 0, false, 4, false },
                 FaultCase { "flaps, 20 s", 10, 0, false, 20, false },
                 FaultCase { "whole service slow", 4, 0, false, 0, true } }) {
            auto fault = faultAtSecond20();
            fault.slowFactor = item.slowFactor;
            fault.failShare = item.failShare;
            fault.hangs = item.hangs;
            fault.flapPeriodSeconds = item.flapPeriodSeconds;
            fault.affectsAllTargets = item.affectsAllTargets;
            options.faults = { fault };
            measureScenario(item.name, deployment, options);
        }
    }

    // Measures the effect of one organisation that sends five times its rate on the others: the ratio of
    // their p99 latency to that at the normal rate (median and worst), and the lowest share of an
    // organisation's requests that succeed.
    void measureNoisyNeighbour(const Deployment& deployment)
    {
        for (const auto policy : { Policy::Ours, Policy::RoundRobin }) {
            std::vector<double> latencyRatios;
            double lowestSuccessShare = 1;
            for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
                auto options = deployment.options;
                options.policy = policy;
                options.seed = seed;
                const auto baseline = runModel(options);
                auto& noisyOrganisation = options.organisations.front();
                noisyOrganisation.ratePerSecond *= 5;
                // No rate limit is set, so that the result shows the effect of sharing slots alone.
                const auto contended = runModel(options);
                for (std::size_t i = 1; i < options.organisations.size(); ++i) {
                    const auto& name = options.organisations[i].name;
                    const auto contendedLatencies = contended.latenciesMs.find(name);
                    const auto baselineLatencies = baseline.latenciesMs.find(name);
                    if (contendedLatencies == contended.latenciesMs.end()
                        || baselineLatencies == baseline.latenciesMs.end())
                        continue;
                    latencyRatios.push_back(quantile(contendedLatencies->second, 0.99)
                        / quantile(baselineLatencies->second, 0.99));
                    lowestSuccessShare = std::min(lowestSuccessShare,
                        static_cast<double>(contended.successesByOrganisation.at(name))
                            / static_cast<double>(contended.admittedByOrganisation.at(name)));
                }
            }
            std::printf(
                "%-22s %-8s %-19s p99 with / without: median %.2f, worst %.2f; worst goodput share %.3f\n",
                "five times its rate", deployment.name.c_str(), std::string(toString(policy)).c_str(),
                quantile(latencyRatios, 0.5), quantile(latencyRatios, 1), lowestSuccessShare);
        }
    }

    void measureOverload(const Deployment& deployment)
    {
        for (const double load : { 0.5, 1.0, 2.0, 3.0, 5.0 }) {
            auto options = deployment.options;
            // The mean of a log-normal service time is exp(0.4 * 0.4 / 2) = 1.083 times its median.
            const double capacity
                = options.targets * options.slots / (options.medianServiceMs / 1000 * 1.083);
            double offered = 0;
            for (const auto& organisation : options.organisations)
                offered += organisation.ratePerSecond;
            for (auto& organisation : options.organisations)
                organisation.ratePerSecond *= load * capacity / offered;
            options.durationSeconds = 20;
            const auto result = runModel(options);
            std::printf("%-22s %-8s load %.1f of capacity: %.0f good/s of %.0f/s, ejections %ld\n",
                "overload", deployment.name.c_str(), load,
                static_cast<double>(result.successes) / options.durationSeconds, load * capacity,
                result.ejections);
        }
    }

} // namespace

} // namespace tarragonhaven::testing

int main()
{
    using namespace tarragonhaven::testing;
    std::printf("%-22s %-8s %-19s %8s %8s %4s %7s %7s %8s %9s\n", "SCENARIO", "FLEET", "POLICY", "DETECT s",
        "WORST s", "MISS", "FALSE", "EJECTED", "GOODPUT", "p99 ms");
    for (const auto& deployment :
        { Deployment { "qali", qaliOptions() }, Deployment { "omaruru", omaruruOptions() } }) {
        measureFaults(deployment);
        measureNoisyNeighbour(deployment);
        measureOverload(deployment);
    }
    return 0;
}
