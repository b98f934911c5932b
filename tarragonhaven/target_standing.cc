// The transitions are a Boost.MSM table; times and counts live beside it. The machine is only told of an
// event when its condition holds, so every event that reaches it has a row.

#include "tarragonhaven/target_standing.h"

#include "util/check.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tarragonhaven {

namespace {

    namespace msm = boost::msm;
    using msm::front::Row;

    constexpr double probationWeight = 0.05;
    constexpr double firstRampWeight = 0.1;

    struct Condemned { };
    struct HoldoffOver { };
    struct Proved { };
    struct RampOver { };
    struct Reinstated { };

    struct MachineFront : msm::front::state_machine_def<MachineFront> {
        struct Active : msm::front::state<> { };
        struct Ejected : msm::front::state<> { };
        struct Probation : msm::front::state<> { };
        struct Ramp : msm::front::state<> { };
        // Names that Boost.MSM looks for.
        using initial_state = Active; // NOLINT(readability-identifier-naming)
        struct transition_table // NOLINT(readability-identifier-naming)
            : boost::mpl::vector<Row<Active, Condemned, Ejected>, Row<Ejected, HoldoffOver, Probation>,
                  Row<Ejected, Reinstated, Ramp>, Row<Probation, Proved, Ramp>,
                  Row<Probation, Condemned, Ejected>, Row<Ramp, Condemned, Ejected>,
                  Row<Ramp, RampOver, Active>> { };
        template <typename Event, typename Machine> void no_transition(const Event&, Machine&, int)
        {
            TARRAGONHAVEN_CHECK(false, "a standing gets only events that its state knows");
        }
    };
    using Machine = msm::back::state_machine<MachineFront>;

    template <typename State> constexpr int stateId()
    {
        return msm::back::get_state_id<Machine::stt, State>::value;
    }

} // namespace

std::string_view name(Standing standing)
{
    switch (standing) {
    case Standing::Active:
        return "active";
    case Standing::Ejected:
        return "ejected";
    case Standing::Probation:
        return "probation";
    case Standing::Ramp:
        return "ramp";
    }
    return "active";
}

class TargetStanding::Rep {
public:
    explicit Rep(StandingOptions chosen)
        : options(chosen)
    {
        machine.start();
    }

    [[nodiscard]] Standing standing() const
    {
        const int id = machine.current_state()[0];
        if (id == stateId<MachineFront::Ejected>())
            return Standing::Ejected;
        if (id == stateId<MachineFront::Probation>())
            return Standing::Probation;
        return id == stateId<MachineFront::Ramp>() ? Standing::Ramp : Standing::Active;
    }

    [[nodiscard]] util::Duration nextHoldoff(util::Time now) const
    {
        if (ejections == 0 || now - lastCondemned > options.forgetAfter)
            return options.firstHoldoff;
        return std::min(holdoff * 2, options.longestHoldoff);
    }

    StandingOptions options;
    Machine machine;
    util::Duration holdoff {};
    util::Time lastCondemned {};
    util::Time holdoffEnds {};
    util::Time rampStarted {};
    int goodAnswers = 0;
    int ejections = 0;
};

TargetStanding::TargetStanding(StandingOptions options)
    : m_rep(std::make_unique<Rep>(options))
{
}

TargetStanding::~TargetStanding() = default;
TargetStanding::TargetStanding(TargetStanding&&) noexcept = default;
TargetStanding& TargetStanding::operator=(TargetStanding&&) noexcept = default;

Standing TargetStanding::standing() const { return m_rep->standing(); }

void TargetStanding::condemn(util::Time now)
{
    if (standing() == Standing::Ejected)
        return;
    m_rep->holdoff = m_rep->nextHoldoff(now);
    m_rep->lastCondemned = now;
    m_rep->holdoffEnds = now + m_rep->holdoff;
    m_rep->goodAnswers = 0;
    ++m_rep->ejections;
    m_rep->machine.process_event(Condemned {});
}

void TargetStanding::reinstate(util::Time now)
{
    if (standing() != Standing::Ejected)
        return;
    m_rep->rampStarted = now;
    m_rep->machine.process_event(Reinstated {});
}

void TargetStanding::noteGood(int answers, util::Time now)
{
    if (standing() != Standing::Probation)
        return;
    m_rep->goodAnswers += answers;
    if (m_rep->goodAnswers < m_rep->options.proofAnswers)
        return;
    m_rep->rampStarted = now;
    m_rep->machine.process_event(Proved {});
}

void TargetStanding::advance(util::Time now)
{
    const auto current = standing();
    if (current == Standing::Ejected && now >= m_rep->holdoffEnds)
        m_rep->machine.process_event(HoldoffOver {});
    if (current == Standing::Ramp && now - m_rep->rampStarted >= m_rep->options.ramp)
        m_rep->machine.process_event(RampOver {});
}

double TargetStanding::weight(util::Time now) const
{
    switch (standing()) {
    case Standing::Active:
        return 1;
    case Standing::Ejected:
        return 0;
    case Standing::Probation:
        return probationWeight;
    case Standing::Ramp:
        break;
    }
    const double passed = util::toSeconds(now - m_rep->rampStarted) / util::toSeconds(m_rep->options.ramp);
    return std::clamp(passed, firstRampWeight, 1.0);
}

util::Time TargetStanding::holdoffEnds() const { return m_rep->holdoffEnds; }

int TargetStanding::ejections() const { return m_rep->ejections; }

} // namespace tarragonhaven
