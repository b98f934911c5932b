// Asks each question until its answer is valid or the input ends. Once the input has ended, questions are not
// asked any more and return a default: an empty text, the lowest number, "no" or balanced sensitivity. The
// answers are then discarded by askAnswers().

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
                const auto answer = askLine("What matters more: fast detection of failing targets, few "
                                            "false ejections, or both? "
                                            "(detection, false-ejections or both)");
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
        request.name = prompt.askText("What is the name of this kind of request?");
        request.method = prompt.askText("What is its HTTP method?");
        request.path = prompt.askText(
            "What is its path? (* matches one segment, a final ** matches any remaining segments)");
        request.idempotent = prompt.askYesNo(
            "Is it idempotent: does running it twice have the same effect as running it once?");
        if (!request.idempotent)
            request.harmfulIfRepeated = prompt.askYesNo(
                "Does running it twice do harm, so that callers must send an idempotency key?");
        request.openToAll
            = !request.harmfulIfRepeated && prompt.askYesNo("May callers without an API key send it?");
        request.deadlineMs
            = prompt.askNumber("Within how many milliseconds must the response begin?", 1, maximumDeadlineMs);
        return request;
    }

    ServiceAnswer askService(QuestionPrompt& prompt)
    {
        ServiceAnswer service;
        service.name = prompt.askText("What is the name of the service?");
        service.targets = prompt.askNumber("How many targets does it have?", 1, maximumItems);
        service.slots
            = prompt.askNumber("How many requests can a target process at the same time?", 1, maximumSlots);
        service.floorPercent = prompt.askNumber(
            "Which percentage of its slots must stay in use when targets are ejected?", 0, 100);
        service.sensitivity = prompt.askSensitivity();
        const int requests = prompt.askNumber("How many kinds of request does it answer?", 1, maximumItems);
        for (int i = 0; i < requests && !prompt.ended(); ++i)
            service.requests.push_back(askRequest(prompt));
        return service;
    }

    Organisation askOrganisation(QuestionPrompt& prompt)
    {
        Organisation organisation;
        organisation.name = { prompt.askText("What is the name of the organisation?") };
        organisation.ratePerSecond
            = prompt.askNumber("How many requests per second may it send?", 1, maximumBurst);
        organisation.burst = prompt.askNumber(
            "How many requests may it send at once after a time without requests?", 1, maximumBurst);
        const auto digest = prompt.askText("What is the SHA-256 digest of its API key? (tarragonhaven_config "
                                           "key generates a key and its digest)");
        organisation.keys.push_back({ digest, 0 });
        return organisation;
    }

} // namespace

util::Checked<QuestionnaireAnswers> askAnswers(std::istream& input, std::ostream& output)
{
    QuestionPrompt prompt(input, output);
    QuestionnaireAnswers answers;
    answers.fleet = prompt.askText("What is the name of the fleet?");
    const int dataCentres = prompt.askNumber("How many data centres are there?", 1, maximumItems);
    for (int i = 0; i < dataCentres && !prompt.ended(); ++i)
        answers.dataCentres.push_back(
            prompt.askText("What is the name of data centre " + std::to_string(i + 1) + "?"));
    answers.addresses.pattern = prompt.askText("What are the IP addresses of instances? ({d}: number of the "
                                               "data centre, {n}: number of the instance in it)");
    answers.addresses.callerPort = prompt.askNumber("Which port do callers connect to?", 1, maximumPort);
    answers.addresses.peerPort = prompt.askNumber("Which port do other nodes connect to?", 1, maximumPort);
    answers.addresses.targetPort = prompt.askNumber("Which port do the targets listen on?", 1, maximumPort);
    const int services = prompt.askNumber("How many services are there?", 1, maximumItems);
    for (int i = 0; i < services && !prompt.ended(); ++i)
        answers.services.push_back(askService(prompt));
    const int organisations = prompt.askNumber("How many organisations are there?", 0, maximumItems);
    for (int i = 0; i < organisations && !prompt.ended(); ++i)
        answers.organisations.push_back(askOrganisation(prompt));
    if (prompt.ended())
        return tl::unexpected(
            util::Faults { { "answers", "the input ended before the last question was answered" } });
    return answers;
}

} // namespace tarragonhaven
