// Each question is asked until its answer fits or the input ends. The end of the input is noted once, and
// makes every later question yield its lowest value without asking.

#include "tarragonhaven/questionnaire.h"

#include <absl/strings/numbers.h>
#include <istream>
#include <ostream>

namespace tarragonhaven {

namespace {

    constexpr int maximumItems = 1000;
    constexpr int maximumSlots = 10'000;
    constexpr int maximumPort = 60'000;
    constexpr int maximumDeadlineMs = 3'600'000;
    constexpr int maximumBurst = 10'000'000;

    class QuestionPrompt {
    public:
        QuestionPrompt(std::istream& input, std::ostream& output)
            : m_input(input)
            , m_output(output)
        {
        }

        std::string askText(const std::string& question)
        {
            std::string answer;
            while (!m_ended && answer.empty())
                answer = askLine(question);
            return answer;
        }

        int askNumber(const std::string& question, int low, int high)
        {
            const auto range = " (" + std::to_string(low) + " to " + std::to_string(high) + ")";
            while (!m_ended) {
                int number = 0;
                if (absl::SimpleAtoi(askLine(question + range), &number) && number >= low && number <= high)
                    return number;
            }
            return low;
        }

        bool askYesNo(const std::string& question)
        {
            while (!m_ended) {
                const auto answer = askLine(question + " (yes or no)");
                if (answer == "yes" || answer == "no")
                    return answer == "yes";
            }
            return false;
        }

        EjectionSensitivity askSensitivity()
        {
            while (!m_ended) {
                const auto answer = askLine("What weighs more here: detection, false-ejections or both?");
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
        std::string askLine(const std::string& question)
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

    RequestAnswer askRequest(QuestionPrompt& prompt)
    {
        RequestAnswer request;
        request.name = prompt.askText("What is this kind of request called?");
        request.method = prompt.askText("Its HTTP method?");
        request.path = prompt.askText("Its path? (* for any segment, a final ** for any rest)");
        request.idempotent = prompt.askYesNo("Does sending it twice do the same as sending it once?");
        if (!request.idempotent)
            request.harmfulIfRepeated = prompt.askYesNo("Does running it twice do harm?");
        request.openToAll
            = !request.harmfulIfRepeated && prompt.askYesNo("May callers without a key send it?");
        request.deadlineMs
            = prompt.askNumber("Within how many milliseconds must it be answered?", 1, maximumDeadlineMs);
        return request;
    }

    ServiceAnswer askService(QuestionPrompt& prompt)
    {
        ServiceAnswer service;
        service.name = prompt.askText("What is the service called?");
        service.targets = prompt.askNumber("How many targets does it have?", 1, maximumItems);
        service.slots = prompt.askNumber("How many requests does a target take at once?", 1, maximumSlots);
        service.floorPercent = prompt.askNumber("Which percentage of its slots must stay in use?", 0, 100);
        service.sensitivity = prompt.askSensitivity();
        const int requests = prompt.askNumber("How many kinds of request does it answer?", 1, maximumItems);
        for (int i = 0; i < requests && !prompt.ended(); ++i)
            service.requests.push_back(askRequest(prompt));
        return service;
    }

    Organisation askOrganisation(QuestionPrompt& prompt)
    {
        Organisation organisation;
        organisation.name = { prompt.askText("What is the organisation called?") };
        organisation.ratePerSecond
            = prompt.askNumber("How many requests a second may it send?", 1, maximumBurst);
        organisation.burst = prompt.askNumber("How many at once after a quiet time?", 1, maximumBurst);
        const auto digest = prompt.askText("The SHA-256 of its key? (tarragonhaven_config key makes one)");
        organisation.keys.push_back({ digest, 0 });
        return organisation;
    }

} // namespace

util::Checked<QuestionnaireAnswers> askAnswers(std::istream& input, std::ostream& output)
{
    QuestionPrompt prompt(input, output);
    QuestionnaireAnswers answers;
    answers.fleet = prompt.askText("What is the fleet called?");
    const int dataCentres = prompt.askNumber("How many data centres are there?", 1, maximumItems);
    for (int i = 0; i < dataCentres && !prompt.ended(); ++i)
        answers.dataCentres.push_back(
            prompt.askText("What is data centre " + std::to_string(i + 1) + " called?"));
    answers.addresses.pattern = prompt.askText(
        "The IP numbers of instances? ({d}: number of the data centre, {n}: of the instance)");
    answers.addresses.callerPort = prompt.askNumber("The port for callers?", 1, maximumPort);
    answers.addresses.peerPort = prompt.askNumber("The port for other nodes?", 1, maximumPort);
    answers.addresses.targetPort = prompt.askNumber("The port of the targets?", 1, maximumPort);
    const int services = prompt.askNumber("How many services are there?", 1, maximumItems);
    for (int i = 0; i < services && !prompt.ended(); ++i)
        answers.services.push_back(askService(prompt));
    const int organisations = prompt.askNumber("How many organisations are there?", 0, maximumItems);
    for (int i = 0; i < organisations && !prompt.ended(); ++i)
        answers.organisations.push_back(askOrganisation(prompt));
    if (prompt.ended())
        return tl::unexpected(util::Faults { { "answers", "end before the last question" } });
    return answers;
}

} // namespace tarragonhaven
