// A discrete-event simulation. A target serves one request per slot, with log-normal service times; its guard
// queues the requests that wait for a slot; entry nodes choose the targets. Links take a fixed time. The rate
// limiter in front is one ideal token bucket per organisation; rate_test measures how much less the real,
// distributed limiter admits.

#include "tarragonhaven/testing/policy_model.h"

#include "tarragonhaven/report_push_trigger.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tarragonhaven::testing {

namespace {

    constexpr util::Duration evaluationInterval = std::chrono::milliseconds(50);
    constexpr int consecutiveErrorThreshold = 5;
    constexpr double consecutiveErrorEjectionSeconds = 30;

    struct Request {
        std::uint64_t id = 0;
        int organisation = 0;
        int entry = 0;
        int target = 0;
        int attempts = 0;
        util::Time arrived {};
        util::Time deadline {};
        util::Time sent {};
        // The age at which the wait for a response was last recorded at the entry node.
        util::Duration recordedAge {};
        // Whether the request probes a target on probation.
        bool isProbe = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct ModelTarget {
        std::unique_ptr<SlotQueue> queue;
        // Requests that wait for a slot or are being served.
        std::map<std::uint64_t, RequestPointer> requests;
        TargetReport report;
        ReportPushTrigger pushTrigger;
        // Start times of the requests that are being served and have not been counted as overdue.
        std::map<std::uint64_t, util::Time> startTimes;
    };

    struct ModelEntryNode {
        std::unique_ptr<ServiceHealth> health;
        int nextTarget = 0;
        // By target, for Policy::ConsecutiveErrors.
        std::vector<int> consecutiveErrors;
        std::vector<util::Time> ejectedUntil;
        // Requests that were sent and have not been responded to.
        std::map<std::uint64_t, RequestPointer> outstanding;
    };

    class Model {
    public:
        explicit Model(const ModelOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_targets(static_cast<std::size_t>(options.targets))
            , m_entryNodes(static_cast<std::size_t>(options.entryNodes))
        {
            Service service { { "s" }, options.floorPercent, options.sensitivity, {} };
            for (int i = 0; i < options.targets; ++i)
                service.targets.push_back(
                    { { std::to_string(i) }, { std::to_string(i) }, {}, options.slots });
            for (auto& target : m_targets) {
                target.queue = std::make_unique<SlotQueue>(SlotQueueOptions { options.slots, 1000 });
                target.report.incarnation = 1;
                target.report.slots = options.slots;
            }
            for (auto& entry : m_entryNodes) {
                entry.health = std::make_unique<ServiceHealth>(service);
                entry.consecutiveErrors.resize(m_targets.size());
                entry.ejectedUntil.resize(m_targets.size());
            }
            for (const auto& organisation : options.organisations)
                m_buckets.emplace_back(organisation.limitPerSecond, organisation.limitPerSecond);
        }

        ModelResult run()
        {
            for (std::size_t i = 0; i < m_options.organisations.size(); ++i)
                scheduleArrival(static_cast<int>(i));
            scheduleAfter(evaluationInterval, [this] { evaluate(); });
            const auto end = m_now + util::fromSeconds(m_options.durationSeconds);
            while (!m_events.empty() && m_events.begin()->first <= end) {
                auto event = m_events.extract(m_events.begin());
                m_now = event.key();
                event.mapped()();
            }
            computeDetectionTime();
            return std::move(m_result);
        }

    private:
        struct LimitBucket {
            LimitBucket(double rate, double burst)
                : rate(rate)
                , tokens(burst)
            {
            }
            double rate;
            double tokens;
            util::Time lastRefill {};
        };

        void scheduleAfter(util::Duration delay, std::function<void()> event)
        {
            m_events.emplace(m_now + delay, std::move(event));
        }
        double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        [[nodiscard]] double elapsedSeconds() const { return util::toSeconds(m_now - m_start); }

        // Returns the first declared fault that affects `target` now, or a fault without effect.
        [[nodiscard]] ModelFault currentFault(int target) const
        {
            for (const auto& fault : m_options.faults) {
                const bool begun = elapsedSeconds() >= fault.startSecond;
                const bool affected = fault.affectsAllTargets || fault.target == target;
                const bool inHealthyPhase = fault.flapPeriodSeconds > 0
                    && static_cast<long>(
                           (elapsedSeconds() - fault.startSecond) / (fault.flapPeriodSeconds / 2))
                            % 2
                        == 1;
                if (begun && affected && !inHealthyPhase)
                    return fault;
            }
            return {};
        }

        void scheduleArrival(int organisation)
        {
            const double rate
                = m_options.organisations.at(static_cast<std::size_t>(organisation)).ratePerSecond;
            const double delay = std::exponential_distribution<double>(rate)(m_random);
            scheduleAfter(util::fromSeconds(delay), [this, organisation] {
                onArrival(organisation);
                scheduleArrival(organisation);
            });
        }

        // Takes a token from the organisation's bucket. Returns false if there is none.
        bool admit(int organisation)
        {
            auto& bucket = m_buckets.at(static_cast<std::size_t>(organisation));
            if (bucket.rate <= 0)
                return true;
            bucket.tokens = std::min(
                bucket.rate, bucket.tokens + util::toSeconds(m_now - bucket.lastRefill) * bucket.rate);
            bucket.lastRefill = m_now;
            if (bucket.tokens < 1)
                return false;
            bucket.tokens -= 1;
            return true;
        }

        [[nodiscard]] const std::string& organisationName(int organisation) const
        {
            return m_options.organisations.at(static_cast<std::size_t>(organisation)).name;
        }

        void onArrival(int organisation)
        {
            if (!admit(organisation))
                return;
            auto request = std::make_shared<Request>();
            request->id = ++m_lastId;
            request->organisation = organisation;
            request->entry = static_cast<int>(m_random() % m_entryNodes.size());
            request->arrived = m_now;
            request->deadline = m_now + util::fromSeconds(m_options.deadlineSeconds);
            ++m_result.admittedByOrganisation[organisationName(organisation)];
            send(request);
        }

        void send(const RequestPointer& request)
        {
            auto& entry = m_entryNodes.at(static_cast<std::size_t>(request->entry));
            request->target = choose(*request, entry);
            if (request->target < 0)
                return;
            ++m_result.attempts;
            ++request->attempts;
            request->sent = m_now;
            request->recordedAge = {};
            recordSentToFaulty(*request);
            entry.health->recordSent({ std::to_string(request->target) });
            entry.outstanding.emplace(request->id, request);
            scheduleAfter(util::fromSeconds(m_options.linkLatencyMs / 1000),
                [this, request] { enqueueAtTarget(request); });
        }

        void recordSentToFaulty(const Request& request)
        {
            if (m_options.faults.empty() || m_options.faults[0].affectsAllTargets)
                return;
            const auto& fault = m_options.faults[0];
            if (request.target == fault.target && elapsedSeconds() >= fault.startSecond && !request.isProbe)
                m_lastSentToFaultySecond = elapsedSeconds();
        }

        int choose(Request& request, ModelEntryNode& entry)
        {
            request.isProbe = false;
            if (m_options.policy != Policy::Ours)
                return chooseRoundRobin(entry);
            const int dataCentre = request.entry % m_options.dataCentres;
            const auto distance = [&](const Target& target) {
                return std::stoi(target.name.text) % m_options.dataCentres == dataCentre ? 0 : 1;
            };
            const auto choice = chooseTarget(entry.health->views(m_now), { true, {} }, distance, m_random);
            if (!choice.target)
                return -1;
            request.isProbe = choice.reason == "probation";
            return std::stoi(choice.target->name.text);
        }

        // Returns the next target in turn that is not ejected or, if all are ejected, the one that is next in
        // turn.
        int chooseRoundRobin(ModelEntryNode& entry)
        {
            for (int i = 0; i < m_options.targets; ++i) {
                const int target = entry.nextTarget++ % m_options.targets;
                if (m_now >= entry.ejectedUntil.at(static_cast<std::size_t>(target)))
                    return target;
            }
            return entry.nextTarget % m_options.targets;
        }

        void enqueueAtTarget(const RequestPointer& request)
        {
            auto& target = m_targets.at(static_cast<std::size_t>(request->target));
            // The baselines queue first come, first served: all requests carry one organisation name, so that
            // the queue orders them by arrival alone.
            const OrganisationName organisation {
                m_options.policy == Policy::Ours ? organisationName(request->organisation) : ""
            };
            target.requests.emplace(request->id, request);
            const auto acquisition
                = target.queue->acquire({ request->id, organisation, request->deadline }, m_now);
            if (acquisition.displaced)
                target.requests.erase(*acquisition.displaced);
            if (acquisition.granted)
                startService(request);
        }

        void startService(const RequestPointer& request)
        {
            const auto fault = currentFault(request->target);
            const auto& organisation
                = m_options.organisations.at(static_cast<std::size_t>(request->organisation));
            const double noise
                = std::exp(std::normal_distribution<double>(0, m_options.serviceTimeSigma)(m_random));
            double serviceSeconds = m_options.medianServiceMs / 1000 * noise * organisation.serviceTimeFactor
                * fault.slowFactor;
            const bool fails = drawUniform() < std::max(fault.failShare, m_options.backgroundFailShare);
            const bool hangs = fault.hangs;
            m_targets.at(static_cast<std::size_t>(request->target)).startTimes.emplace(request->id, m_now);
            if (hangs)
                serviceSeconds = util::toSeconds(request->deadline - m_now);
            scheduleAfter(util::fromSeconds(std::max(0.0, serviceSeconds)),
                [this, request, failed = fails || hangs, serviceSeconds] {
                    onServiceEnd(request, failed, serviceSeconds);
                });
        }

        void onServiceEnd(const RequestPointer& request, bool failed, double serviceSeconds)
        {
            auto& target = m_targets.at(static_cast<std::size_t>(request->target));
            target.queue->release(request->id);
            target.requests.erase(request->id);
            for (const auto id : target.queue->expire(m_now))
                target.requests.erase(id);
            for (const auto id : target.queue->grant(m_now))
                startService(target.requests.at(id));
            auto& report = target.report;
            target.startTimes.erase(request->id);
            if (failed) {
                ++report.failures;
                target.pushTrigger.recordFailure();
            } else {
                ++report.successes;
                report.logLatencySum += std::log2(std::max(1.0, serviceSeconds * 1e6));
                target.pushTrigger.recordLatency(std::log2(std::max(1.0, serviceSeconds * 1e6)));
            }
            ++report.sequence;
            report.slotsInUse = target.queue->inUse();
            report.waiting = static_cast<int>(target.queue->waiting());
            scheduleAfter(util::fromSeconds(m_options.linkLatencyMs / 1000),
                [this, request, failed, copy = report] { onResponse(request, failed, copy); });
        }

        void onResponse(const RequestPointer& request, bool failed, const TargetReport& report)
        {
            auto& entry = m_entryNodes.at(static_cast<std::size_t>(request->entry));
            entry.outstanding.erase(request->id);
            entry.health->recordCompleted({ std::to_string(request->target) });
            entry.health->recordReport({ std::to_string(request->target) }, report, m_now);
            recordOutcome(entry, request->target, failed);
            if (failed) {
                if (request->attempts < 2 && m_now < request->deadline)
                    send(request);
                return;
            }
            ++m_result.successes;
            const auto& organisation = organisationName(request->organisation);
            ++m_result.successesByOrganisation[organisation];
            m_result.latenciesMs[organisation].push_back(util::toSeconds(m_now - request->arrived) * 1000);
        }

        void recordOutcome(ModelEntryNode& entry, int target, bool failed)
        {
            if (m_options.policy != Policy::ConsecutiveErrors)
                return;
            auto& errorCount = entry.consecutiveErrors.at(static_cast<std::size_t>(target));
            errorCount = failed ? errorCount + 1 : 0;
            if (errorCount < consecutiveErrorThreshold)
                return;
            errorCount = 0;
            entry.ejectedUntil.at(static_cast<std::size_t>(target))
                = m_now + util::fromSeconds(consecutiveErrorEjectionSeconds);
            recordEjection(target);
        }

        // Counts an ejection. It is false if the target has no fault, or if the fault affects the whole
        // service. Ejecting a flapping target is never false, not even while it is healthy.
        void recordEjection(int target)
        {
            ++m_result.ejections;
            const auto fault = currentFault(target);
            const bool faulty = fault.slowFactor > 1 || fault.failShare > 0 || fault.hangs;
            const bool flapping = !m_options.faults.empty() && m_options.faults[0].flapPeriodSeconds > 0
                && m_options.faults[0].target == target;
            if ((!faulty && !flapping) || fault.affectsAllTargets)
                ++m_result.falseEjections;
        }

        // Sends the reports that guards push to every entry node without a request from it. A request that is
        // overdue at its target counts as overdue once.
        void pushReports()
        {
            for (std::size_t i = 0; i < m_targets.size(); ++i) {
                auto& target = m_targets[i];
                const auto oldest = m_now - target.pushTrigger.overdueAge();
                const auto overdue = std::erase_if(
                    target.startTimes, [&](const auto& item) { return item.second < oldest; });
                target.report.overdue += overdue;
                if (overdue > 0)
                    target.pushTrigger.recordFailure();
                if (!target.pushTrigger.due(m_now))
                    continue;
                ++target.report.sequence;
                scheduleAfter(
                    util::fromSeconds(m_options.linkLatencyMs / 1000), [this, i, copy = target.report] {
                        for (auto& entry : m_entryNodes)
                            entry.health->recordReport({ std::to_string(i) }, copy, m_now);
                    });
            }
        }

        void evaluate()
        {
            pushReports();
            scheduleAfter(evaluationInterval, [this] { evaluate(); });
            if (m_options.policy != Policy::Ours)
                return;
            for (auto& entry : m_entryNodes) {
                for (auto& [id, request] : entry.outstanding) {
                    const auto age = m_now - request->sent;
                    entry.health->recordWaiting(
                        { std::to_string(request->target) }, age, request->recordedAge);
                    request->recordedAge = age;
                }
                for (const auto& decision : entry.health->evaluate(m_now)) {
                    if (decision.event == EjectionEvent::Ejected)
                        recordEjection(std::stoi(decision.target.text));
                }
            }
        }

        void computeDetectionTime()
        {
            if (m_options.faults.empty())
                return;
            const auto& fault = m_options.faults[0];
            const bool undetected = m_lastSentToFaultySecond > m_options.durationSeconds - 1;
            m_result.detectionSeconds
                = undetected ? -1 : std::max(0.0, m_lastSentToFaultySecond - fault.startSecond);
        }

        ModelOptions m_options;
        std::mt19937_64 m_random;
        util::Time m_start { std::chrono::hours(1) };
        util::Time m_now { std::chrono::hours(1) };
        std::vector<ModelTarget> m_targets;
        std::vector<ModelEntryNode> m_entryNodes;
        std::vector<LimitBucket> m_buckets;
        std::multimap<util::Time, std::function<void()>> m_events;
        std::uint64_t m_lastId = 0;
        double m_lastSentToFaultySecond = 0;
        ModelResult m_result;
    };

} // namespace

std::string_view toString(Policy policy)
{
    switch (policy) {
    case Policy::Ours:
        return "ours";
    case Policy::RoundRobin:
        return "round-robin";
    case Policy::ConsecutiveErrors:
        return "consecutive-errors";
    }
    return "ours";
}

ModelResult runModel(const ModelOptions& options) { return Model(options).run(); }

} // namespace tarragonhaven::testing
