// A queue of timed events. Targets are lognormal servers with slots; guards queue for them; entries choose.
// Links take a fixed time. The limiter in front is one ideal bucket for each organisation: what the real one
// loses against that is measured elsewhere (rate_test).

#include "tarragonhaven/testing/policy_model.h"

#include "tarragonhaven/report_push_trigger.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tarragonhaven::testing {

namespace {

    constexpr util::Duration evaluationInterval = std::chrono::milliseconds(50);
    constexpr int errorsInARow = 5;
    constexpr double errorEjectionSeconds = 30;

    struct Request {
        std::uint64_t id = 0;
        int organisation = 0;
        int entry = 0;
        int target = 0;
        int tries = 0;
        util::Time arrived {};
        util::Time deadline {};
        util::Time sent {};
        util::Duration notedAge {};
        bool probing = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct ModelTarget {
        std::unique_ptr<SlotQueue> queue;
        std::map<std::uint64_t, RequestPointer> waiting;
        TargetReport report;
        ReportPushTrigger push;
        std::map<std::uint64_t, util::Time> started;
    };

    struct ModelEntry {
        std::unique_ptr<ServiceHealth> health;
        int nextTarget = 0;
        std::vector<int> errors;
        std::vector<util::Time> ejectedUntil;
        std::map<std::uint64_t, RequestPointer> waiting;
    };

    class Model {
    public:
        explicit Model(const ModelOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_targets(static_cast<std::size_t>(options.targets))
            , m_entries(static_cast<std::size_t>(options.entryNodes))
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
            for (auto& entry : m_entries) {
                entry.health = std::make_unique<ServiceHealth>(service);
                entry.errors.resize(m_targets.size());
                entry.ejectedUntil.resize(m_targets.size());
            }
            for (const auto& organisation : options.organisations)
                m_limits.emplace_back(organisation.limitPerSecond, organisation.limitPerSecond);
        }

        ModelResult run()
        {
            for (std::size_t i = 0; i < m_options.organisations.size(); ++i)
                scheduleArrival(static_cast<int>(i));
            at(evaluationInterval, [this] { evaluate(); });
            const auto end = m_now + util::fromSeconds(m_options.durationSeconds);
            while (!m_events.empty() && m_events.begin()->first <= end) {
                auto event = m_events.extract(m_events.begin());
                m_now = event.key();
                event.mapped()();
            }
            finish();
            return std::move(m_result);
        }

    private:
        struct Limit {
            Limit(double rate, double burst)
                : rate(rate)
                , tokens(burst)
            {
            }
            double rate;
            double tokens;
            util::Time last {};
        };

        void at(util::Duration delay, std::function<void()> event)
        {
            m_events.emplace(m_now + delay, std::move(event));
        }
        double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        [[nodiscard]] double second() const { return util::toSeconds(m_now - m_start); }

        // The faults that hit a target now.
        [[nodiscard]] ModelFault faultOf(int target) const
        {
            for (const auto& fault : m_options.faults) {
                const bool started = second() >= fault.startSecond;
                const bool hit = fault.affectsAllTargets || fault.target == target;
                const bool rests = fault.flapPeriodSeconds > 0
                    && static_cast<long>((second() - fault.startSecond) / (fault.flapPeriodSeconds / 2)) % 2
                        == 1;
                if (started && hit && !rests)
                    return fault;
            }
            return {};
        }

        void scheduleArrival(int organisation)
        {
            const double rate
                = m_options.organisations.at(static_cast<std::size_t>(organisation)).ratePerSecond;
            const double wait = std::exponential_distribution<double>(rate)(m_random);
            at(util::fromSeconds(wait), [this, organisation] {
                arrive(organisation);
                scheduleArrival(organisation);
            });
        }

        bool allowed(int organisation)
        {
            auto& limit = m_limits.at(static_cast<std::size_t>(organisation));
            if (limit.rate <= 0)
                return true;
            limit.tokens
                = std::min(limit.rate, limit.tokens + util::toSeconds(m_now - limit.last) * limit.rate);
            limit.last = m_now;
            if (limit.tokens < 1)
                return false;
            limit.tokens -= 1;
            return true;
        }

        [[nodiscard]] const std::string& nameOf(int organisation) const
        {
            return m_options.organisations.at(static_cast<std::size_t>(organisation)).name;
        }

        void arrive(int organisation)
        {
            if (!allowed(organisation))
                return;
            auto request = std::make_shared<Request>();
            request->id = ++m_lastId;
            request->organisation = organisation;
            request->entry = static_cast<int>(m_random() % m_entries.size());
            request->arrived = m_now;
            request->deadline = m_now + util::fromSeconds(m_options.deadlineSeconds);
            ++m_result.admittedByOrganisation[nameOf(organisation)];
            send(request);
        }

        void send(const RequestPointer& request)
        {
            auto& entry = m_entries.at(static_cast<std::size_t>(request->entry));
            request->target = choose(*request, entry);
            if (request->target < 0)
                return;
            ++m_result.attempts;
            ++request->tries;
            request->sent = m_now;
            request->notedAge = {};
            noteSentToFaulty(*request);
            entry.health->recordSent({ std::to_string(request->target) });
            entry.waiting.emplace(request->id, request);
            at(util::fromSeconds(m_options.linkLatencyMs / 1000), [this, request] { enterTarget(request); });
        }

        void noteSentToFaulty(const Request& request)
        {
            if (m_options.faults.empty() || m_options.faults[0].affectsAllTargets)
                return;
            const auto& fault = m_options.faults[0];
            if (request.target == fault.target && second() >= fault.startSecond && !request.probing)
                m_lastToFaulty = second();
        }

        int choose(Request& request, ModelEntry& entry)
        {
            request.probing = false;
            if (m_options.policy != Policy::Ours)
                return chooseInTurn(entry);
            const int dataCentre = request.entry % m_options.dataCentres;
            const auto distance = [&](const Target& target) {
                return std::stoi(target.name.text) % m_options.dataCentres == dataCentre ? 0 : 1;
            };
            const auto choice = chooseTarget(entry.health->views(m_now), { true, {} }, distance, m_random);
            if (!choice.target)
                return -1;
            request.probing = choice.reason == "probation";
            return std::stoi(choice.target->name.text);
        }

        int chooseInTurn(ModelEntry& entry)
        {
            for (int i = 0; i < m_options.targets; ++i) {
                const int target = entry.nextTarget++ % m_options.targets;
                if (m_now >= entry.ejectedUntil.at(static_cast<std::size_t>(target)))
                    return target;
            }
            return entry.nextTarget % m_options.targets;
        }

        void enterTarget(const RequestPointer& request)
        {
            auto& target = m_targets.at(static_cast<std::size_t>(request->target));
            // First come first served is a queue in which everyone is one organisation.
            const OrganisationName organisation {
                m_options.policy == Policy::Ours ? nameOf(request->organisation) : ""
            };
            target.waiting.emplace(request->id, request);
            const auto entered
                = target.queue->acquire({ request->id, organisation, request->deadline }, m_now);
            if (entered.displaced)
                target.waiting.erase(*entered.displaced);
            if (entered.granted)
                serve(request);
        }

        void serve(const RequestPointer& request)
        {
            const auto fault = faultOf(request->target);
            const auto& organisation
                = m_options.organisations.at(static_cast<std::size_t>(request->organisation));
            const double noise
                = std::exp(std::normal_distribution<double>(0, m_options.serviceTimeSigma)(m_random));
            double seconds = m_options.medianServiceMs / 1000 * noise * organisation.serviceTimeFactor
                * fault.slowFactor;
            const bool fails = uniform() < std::max(fault.failShare, m_options.backgroundFailShare);
            const bool hangs = fault.hangs;
            m_targets.at(static_cast<std::size_t>(request->target)).started.emplace(request->id, m_now);
            if (hangs)
                seconds = util::toSeconds(request->deadline - m_now);
            at(util::fromSeconds(std::max(0.0, seconds)),
                [this, request, failed = fails || hangs, seconds] { complete(request, failed, seconds); });
        }

        void complete(const RequestPointer& request, bool failed, double seconds)
        {
            auto& target = m_targets.at(static_cast<std::size_t>(request->target));
            target.queue->release(request->id);
            target.waiting.erase(request->id);
            for (const auto id : target.queue->expire(m_now))
                target.waiting.erase(id);
            for (const auto id : target.queue->grant(m_now))
                serve(target.waiting.at(id));
            auto& report = target.report;
            target.started.erase(request->id);
            if (failed) {
                ++report.failures;
                target.push.recordFailure();
            } else {
                ++report.answers;
                report.logLatencySum += std::log2(std::max(1.0, seconds * 1e6));
                target.push.recordLatency(std::log2(std::max(1.0, seconds * 1e6)));
            }
            ++report.sequence;
            report.slotsInUse = target.queue->inUse();
            report.waiting = static_cast<int>(target.queue->waiting());
            at(util::fromSeconds(m_options.linkLatencyMs / 1000),
                [this, request, failed, copy = report] { answer(request, failed, copy); });
        }

        void answer(const RequestPointer& request, bool failed, const TargetReport& report)
        {
            auto& entry = m_entries.at(static_cast<std::size_t>(request->entry));
            entry.waiting.erase(request->id);
            entry.health->recordCompleted({ std::to_string(request->target) });
            entry.health->recordReport({ std::to_string(request->target) }, report, m_now);
            noteErrors(entry, request->target, failed);
            if (failed) {
                if (request->tries < 2 && m_now < request->deadline)
                    send(request);
                return;
            }
            ++m_result.successes;
            const auto& organisation = nameOf(request->organisation);
            ++m_result.successesByOrganisation[organisation];
            m_result.latenciesMs[organisation].push_back(util::toSeconds(m_now - request->arrived) * 1000);
        }

        void noteErrors(ModelEntry& entry, int target, bool failed)
        {
            if (m_options.policy != Policy::ConsecutiveErrors)
                return;
            auto& errors = entry.errors.at(static_cast<std::size_t>(target));
            errors = failed ? errors + 1 : 0;
            if (errors < errorsInARow)
                return;
            errors = 0;
            entry.ejectedUntil.at(static_cast<std::size_t>(target))
                = m_now + util::fromSeconds(errorEjectionSeconds);
            countEjection(target);
        }

        void countEjection(int target)
        {
            ++m_result.ejections;
            const auto fault = faultOf(target);
            const bool sick = fault.slowFactor > 1 || fault.failShare > 0 || fault.hangs;
            const bool flaps = !m_options.faults.empty() && m_options.faults[0].flapPeriodSeconds > 0
                && m_options.faults[0].target == target;
            if ((!sick && !flaps) || fault.affectsAllTargets)
                ++m_result.falseEjections;
        }

        // What guards tell every entry unasked.
        void tellEntries()
        {
            for (std::size_t i = 0; i < m_targets.size(); ++i) {
                auto& target = m_targets[i];
                const auto oldest = m_now - target.push.overdueAge();
                const auto overdue
                    = std::erase_if(target.started, [&](const auto& item) { return item.second < oldest; });
                target.report.overdue += overdue;
                if (overdue > 0)
                    target.push.recordFailure();
                if (!target.push.due(m_now))
                    continue;
                ++target.report.sequence;
                at(util::fromSeconds(m_options.linkLatencyMs / 1000), [this, i, copy = target.report] {
                    for (auto& entry : m_entries)
                        entry.health->recordReport({ std::to_string(i) }, copy, m_now);
                });
            }
        }

        void evaluate()
        {
            tellEntries();
            at(evaluationInterval, [this] { evaluate(); });
            if (m_options.policy != Policy::Ours)
                return;
            for (auto& entry : m_entries) {
                for (auto& [id, request] : entry.waiting) {
                    const auto age = m_now - request->sent;
                    entry.health->recordWaiting({ std::to_string(request->target) }, age, request->notedAge);
                    request->notedAge = age;
                }
                for (const auto& decision : entry.health->evaluate(m_now)) {
                    if (decision.event == EjectionEvent::Ejected)
                        countEjection(std::stoi(decision.target.text));
                }
            }
        }

        void finish()
        {
            if (m_options.faults.empty())
                return;
            const auto& fault = m_options.faults[0];
            const bool wentOn = m_lastToFaulty > m_options.durationSeconds - 1;
            m_result.detectionSeconds = wentOn ? -1 : std::max(0.0, m_lastToFaulty - fault.startSecond);
        }

        ModelOptions m_options;
        std::mt19937_64 m_random;
        util::Time m_start { std::chrono::hours(1) };
        util::Time m_now { std::chrono::hours(1) };
        std::vector<ModelTarget> m_targets;
        std::vector<ModelEntry> m_entries;
        std::vector<Limit> m_limits;
        std::multimap<util::Time, std::function<void()>> m_events;
        std::uint64_t m_lastId = 0;
        double m_lastToFaulty = 0;
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
