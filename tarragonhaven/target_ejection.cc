// The transitions form a Boost.MSM table; times and counts are kept beside it. Events are sent to the machine
// only when their conditions hold, so every event that it receives has a row in the table.

#include "tarragonhaven/target_ejection.h"

#include "util/check.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tarragonhaven {

namespace {

    namespace msm = boost::msm;
    using msm::front::Row;

    // Shares of its slots for which a target is used on probation and at the beginning of its ramp.
    constexpr double probationWeight = 0.05;
    constexpr double firstRampWeight = 0.1;

    struct EjectRequested { };
    struct EjectionExpired { };
    struct ProbationPassed { };
    struct RampCompleted { };
    struct ReinstateRequested { };

    struct MachineFront : msm::front::state_machine_def<MachineFront> {
        struct Active : msm::front::state<> { };
        struct Ejected : msm::front::state<> { };
        struct Probation : msm::front::state<> { };
        struct Ramp : msm::front::state<> { };
        // Names that Boost.MSM requires.
        using initial_state = Active; // NOLINT(readability-identifier-naming)
        struct transition_table // NOLINT(readability-identifier-naming)
            : boost::mpl::vector<Row<Active, EjectRequested, Ejected>,
                  Row<Ejected, EjectionExpired, Probation>, Row<Ejected, ReinstateRequested, Ramp>,
                  Row<Probation, ProbationPassed, Ramp>, Row<Probation, EjectRequested, Ejected>,
                  Row<Ramp, EjectRequested, Ejected>, Row<Ramp, RampCompleted, Active>> { };
        template <typename Event, typename Machine> void no_transition(const Event&, Machine&, int)
        {
            TARRAGONHAVEN_CHECK(false, "event must have a transition from the current ejection state");
        }
    };
    using Machine = msm::back::state_machine<MachineFront>;

    template <typename State> constexpr int stateId()
    {
        return msm::back::get_state_id<Machine::stt, State>::value;
    }

} // namespace

std::string_view toString(EjectionState state)
{
    switch (state) {
    case EjectionState::Active:
        return "active";
    case EjectionState::Ejected:
        return "ejected";
    case EjectionState::Probation:
        return "probation";
    case EjectionState::Ramp:
        return "ramp";
    }
    return "active";
}

class TargetEjection::Rep {
public:
    explicit Rep(EjectionOptions chosen)
        : options(chosen)
    {
        machine.start();
    }

    [[nodiscard]] EjectionState state() const
    {
        const int id = machine.current_state()[0];
        if (id == stateId<MachineFront::Ejected>())
            return EjectionState::Ejected;
        if (id == stateId<MachineFront::Probation>())
            return EjectionState::Probation;
        return id == stateId<MachineFront::Ramp>() ? EjectionState::Ramp : EjectionState::Active;
    }

    [[nodiscard]] util::Duration nextEjectionDuration(util::Time now) const
    {
        if (ejectionCount == 0 || now - lastEjected > options.backoffResetAfter)
            return options.initialEjectionDuration;
        return std::min(ejectionDuration * 2, options.maximumEjectionDuration);
    }

    EjectionOptions options;
    Machine machine;
    util::Duration ejectionDuration {};
    util::Time lastEjected {};
    util::Time ejectionEnd {};
    util::Time rampStarted {};
    int successes = 0;
    int ejectionCount = 0;
};

TargetEjection::TargetEjection(EjectionOptions options)
    : m_rep(std::make_unique<Rep>(options))
{
}

TargetEjection::~TargetEjection() = default;
TargetEjection::TargetEjection(TargetEjection&&) noexcept = default;
TargetEjection& TargetEjection::operator=(TargetEjection&&) noexcept = default;

EjectionState TargetEjection::state() const { return m_rep->state(); }

void TargetEjection::eject(util::Time now)
{
    if (state() == EjectionState::Ejected)
        return;
    m_rep->ejectionDuration = m_rep->nextEjectionDuration(now);
    m_rep->lastEjected = now;
    m_rep->ejectionEnd = now + m_rep->ejectionDuration;
    m_rep->successes = 0;
    ++m_rep->ejectionCount;
    m_rep->machine.process_event(EjectRequested {});
}

void TargetEjection::reinstate(util::Time now)
{
    if (state() != EjectionState::Ejected)
        return;
    m_rep->rampStarted = now;
    m_rep->machine.process_event(ReinstateRequested {});
}

void TargetEjection::recordSuccesses(int count, util::Time now)
{
    if (state() != EjectionState::Probation)
        return;
    m_rep->successes += count;
    if (m_rep->successes < m_rep->options.probationSuccesses)
        return;
    m_rep->rampStarted = now;
    m_rep->machine.process_event(ProbationPassed {});
}

void TargetEjection::advance(util::Time now)
{
    const auto current = state();
    if (current == EjectionState::Ejected && now >= m_rep->ejectionEnd)
        m_rep->machine.process_event(EjectionExpired {});
    if (current == EjectionState::Ramp && now - m_rep->rampStarted >= m_rep->options.rampDuration)
        m_rep->machine.process_event(RampCompleted {});
}

double TargetEjection::weight(util::Time now) const
{
    switch (state()) {
    case EjectionState::Active:
        return 1;
    case EjectionState::Ejected:
        return 0;
    case EjectionState::Probation:
        return probationWeight;
    case EjectionState::Ramp:
        break;
    }
    const double passed
        = util::toSeconds(now - m_rep->rampStarted) / util::toSeconds(m_rep->options.rampDuration);
    return std::clamp(passed, firstRampWeight, 1.0);
}

util::Time TargetEjection::ejectionEnd() const { return m_rep->ejectionEnd; }

int TargetEjection::ejectionCount() const { return m_rep->ejectionCount; }

} // namespace tarragonhaven
