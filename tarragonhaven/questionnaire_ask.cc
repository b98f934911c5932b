// Each question is asked until its answer fits or the input ends. The end of the input is noted once, and
// makes every later question yield its lowest value without asking.

#include "tarragonhaven/questionnaire.h"

#include <absl/strings/numbers.h>
#include <istream>
#include <ostream>

namespace tarragonhaven {

namespace {

    constexpr int mostItems = 1000;
    constexpr int mostSlots = 10'000;
    constexpr int maximumPort = 60'000;
    constexpr int longestDeadlineMs = 3'600'000;
    constexpr int mostBurst = 10'000'000;

    class Interview {
    public:
        Interview(std::istream& input, std::ostream& output)
            : m_input(input)
            , m_output(output)
        {
        }

        std::string text(const std::string& question)
        {
            std::string answer;
            while (!m_ended && answer.empty())
                answer = line(question);
            return answer;
        }

        int number(const std::string& question, int low, int high)
        {
            const auto range = " (" + std::to_string(low) + " to " + std::to_string(high) + ")";
            while (!m_ended) {
                int number = 0;
                if (absl::SimpleAtoi(line(question + range), &number) && number >= low && number <= high)
                    return number;
            }
            return low;
        }

        bool yes(const std::string& question)
        {
            while (!m_ended) {
                const auto answer = line(question + " (yes or no)");
                if (answer == "yes" || answer == "no")
                    return answer == "yes";
            }
            return false;
        }

        EjectionSensitivity stance()
        {
            while (!m_ended) {
                const auto answer = line("What weighs more here: detection, false-ejections or both?");
                if (answer == "detection")
                    return EjectionSensitivity::Fast;
                if (answer == "false-ejections")
                    return EjectionSensitivity::Careful;
                if (answer == "both")
                    return EjectionSensitivity::Balanced;
            }
            return EjectionSensitivity::Balanced;
        }

        [[nodiscard]] bool ended() const { return m_ended; }

    private:
        std::string line(const std::string& question)
        {
            m_output << question << "\n> " << std::flush;
            std::string answer;
            m_ended = !std::getline(m_input, answer);
            return answer;
        }

        std::istream& m_input;
        std::ostream& m_output;
        bool m_ended = false;
    };

    RequestAnswer askRequest(Interview& interview)
    {
        RequestAnswer request;
        request.name = interview.text("What is this kind of request called?");
        request.method = interview.text("Its HTTP method?");
        request.path = interview.text("Its path? (* for any segment, a final ** for any rest)");
        request.idempotent = interview.yes("Does sending it twice do the same as sending it once?");
        if (!request.idempotent)
            request.harmfulTwice = interview.yes("Does running it twice do harm?");
        request.openToAll = !request.harmfulTwice && interview.yes("May callers without a key send it?");
        request.deadlineMs
            = interview.number("Within how many milliseconds must it be answered?", 1, longestDeadlineMs);
        return request;
    }

    ServiceAnswer askService(Interview& interview)
    {
        ServiceAnswer service;
        service.name = interview.text("What is the service called?");
        service.targets = interview.number("How many targets does it have?", 1, mostItems);
        service.slots = interview.number("How many requests does a target take at once?", 1, mostSlots);
        service.floorPercent = interview.number("Which percentage of its slots must stay in use?", 0, 100);
        service.stance = interview.stance();
        const int requests = interview.number("How many kinds of request does it answer?", 1, mostItems);
        for (int i = 0; i < requests && !interview.ended(); ++i)
            service.requests.push_back(askRequest(interview));
        return service;
    }

    Organisation askOrganisation(Interview& interview)
    {
        Organisation organisation;
        organisation.name = { interview.text("What is the organisation called?") };
        organisation.ratePerSecond
            = interview.number("How many requests a second may it send?", 1, mostBurst);
        organisation.burst = interview.number("How many at once after a quiet time?", 1, mostBurst);
        const auto digest = interview.text("The SHA-256 of its key? (tarragonhaven_config key makes one)");
        organisation.keys.push_back({ digest, 0 });
        return organisation;
    }

} // namespace

util::Checked<QuestionnaireAnswers> askAnswers(std::istream& input, std::ostream& output)
{
    Interview interview(input, output);
    QuestionnaireAnswers answers;
    answers.fleet = interview.text("What is the fleet called?");
    const int dataCentres = interview.number("How many data centres are there?", 1, mostItems);
    for (int i = 0; i < dataCentres && !interview.ended(); ++i)
        answers.dataCentres.push_back(
            interview.text("What is data centre " + std::to_string(i + 1) + " called?"));
    answers.addresses.pattern = interview.text(
        "The IP numbers of instances? ({d}: number of the data centre, {n}: of the instance)");
    answers.addresses.callerPort = interview.number("The port for callers?", 1, maximumPort);
    answers.addresses.peerPort = interview.number("The port for other nodes?", 1, maximumPort);
    answers.addresses.targetPort = interview.number("The port of the targets?", 1, maximumPort);
    const int services = interview.number("How many services are there?", 1, mostItems);
    for (int i = 0; i < services && !interview.ended(); ++i)
        answers.services.push_back(askService(interview));
    const int organisations = interview.number("How many organisations are there?", 0, mostItems);
    for (int i = 0; i < organisations && !interview.ended(); ++i)
        answers.organisations.push_back(askOrganisation(interview));
    if (interview.ended())
        return tl::unexpected(util::Faults { { "answers", "end before the last question" } });
    return answers;
}

} // namespace tarragonhaven
