// The configuration program: generates, checks and compares declarations, writes the values to publish, and
// generates API keys. See docs/CONFIGURATION.md.

#include "tarragonhaven/declaration_check.h"
#include "tarragonhaven/declaration_diff.h"
#include "tarragonhaven/declaration_parse.h"
#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/key_filter.h"
#include "tarragonhaven/questionnaire.h"
#include "util/environment_flags.h"
#include "util/sha256.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>

ABSL_FLAG(std::string, answers, "",
    "questionnaire: file with the answers; if empty, the questions are asked interactively.");
ABSL_FLAG(std::string, save_answers, "", "questionnaire: file to save the answers to; not saved if empty.");
ABSL_FLAG(std::string, output, "",
    "questionnaire: file to write, standard output if empty; values: directory to write (required).");

namespace {

using tarragonhaven::Declaration;

constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr const char* usage
    = "Generates and checks the declaration of a fleet, a JSON file that is kept in version control.\n\n"
      "  tarragonhaven_config questionnaire [--answers=FILE] [--output=FILE]  generates a declaration\n"
      "  tarragonhaven_config check FILE                checks a declaration and prints every fault\n"
      "  tarragonhaven_config diff BEFORE AFTER         prints the effects of a change, and its faults if "
      "it is not allowed\n"
      "  tarragonhaven_config values FILE --output=DIR  writes the values to publish, one file each\n"
      "  tarragonhaven_config key                       generates an API key and the digest to declare\n\n"
      "Flags may also be set by environment variables such as TARRAGONHAVEN_OUTPUT; the command line takes "
      "precedence.\n"
      "Exit codes: 0 success, 1 invalid input or a file that cannot be read or written, 2 wrong usage.";

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

bool writeFile(const std::string& path, const std::string& text)
{
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    return static_cast<bool>(stream.flush());
}

void printFaults(const std::string& file, const util::Faults& faults)
{
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s: %s: %s\n", file.c_str(),
            fault.path.empty() ? "document" : fault.path.c_str(), fault.reason.c_str());
}

std::optional<Declaration> loadDeclaration(const std::string& path)
{
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "%s: the file cannot be read\n", path.c_str());
        return std::nullopt;
    }
    auto declaration = tarragonhaven::parseDeclaration(*text);
    if (!declaration) {
        printFaults(path, declaration.error());
        return std::nullopt;
    }
    return std::move(*declaration);
}

int runCheck(const std::string& path)
{
    const auto declaration = loadDeclaration(path);
    if (!declaration)
        return exitRefused;
    std::printf("%s: accepted: %zu services, %zu instances, %zu routes, %zu organisations\n", path.c_str(),
        declaration->index.services.size(), declaration->index.instances.size(),
        declaration->index.routes.size(), declaration->organisations.size());
    return 0;
}

int runDiff(const std::string& beforePath, const std::string& afterPath)
{
    const auto before = loadDeclaration(beforePath);
    const auto after = loadDeclaration(afterPath);
    if (!before || !after)
        return exitRefused;
    for (const auto& sentence : tarragonhaven::describeChange(*before, *after))
        std::printf("%s\n", sentence.c_str());
    const auto faults = tarragonhaven::checkTransition(before->index, after->index);
    printFaults(afterPath, faults);
    return faults.empty() ? 0 : exitRefused;
}

int runValues(const std::string& path)
{
    const auto declaration = loadDeclaration(path);
    if (!declaration)
        return exitRefused;
    const std::filesystem::path directory(absl::GetFlag(FLAGS_output));
    if (directory.empty()) {
        std::fputs("values: --output is required: the directory to write to\n", stderr);
        return exitUsage;
    }
    std::filesystem::create_directories(directory);
    for (const auto& [name, text] : tarragonhaven::publishedValues(*declaration)) {
        if (!writeFile(directory / name, text)) {
            std::fprintf(stderr, "%s: the file cannot be written\n", (directory / name).c_str());
            return exitRefused;
        }
    }
    return 0;
}

int runKey()
{
    const auto key = std::string(tarragonhaven::keyPrefix)
        + util::randomHex(static_cast<int>(tarragonhaven::keyDigits) / 2);
    std::printf("key    %s\nsha256 %s\n", key.c_str(), util::sha256Hex(key).c_str());
    return 0;
}

util::Checked<tarragonhaven::QuestionnaireAnswers> loadAnswers()
{
    const auto path = absl::GetFlag(FLAGS_answers);
    if (path.empty())
        return tarragonhaven::askAnswers(std::cin, std::cerr);
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(util::Faults { { path, "the file cannot be read" } });
    return tarragonhaven::parseAnswers(*text);
}

int runQuestionnaire()
{
    const auto answers = loadAnswers();
    if (!answers) {
        printFaults("answers", answers.error());
        return exitRefused;
    }
    const auto savePath = absl::GetFlag(FLAGS_save_answers);
    if (!savePath.empty() && !writeFile(savePath, tarragonhaven::writeAnswers(*answers)))
        return exitRefused;
    const auto text = tarragonhaven::writeDeclaration(tarragonhaven::generateDeclaration(*answers));
    const auto declaration = tarragonhaven::parseDeclaration(text);
    if (!declaration) {
        printFaults("generated declaration", declaration.error());
        return exitRefused;
    }
    const auto output = absl::GetFlag(FLAGS_output);
    if (output.empty())
        std::fputs(text.c_str(), stdout);
    else if (!writeFile(output, text))
        return exitRefused;
    return 0;
}

int reportUsage()
{
    std::fprintf(stderr, "%s\n", usage);
    return exitUsage;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage(usage);
    const auto faults = util::applyEnvironment("TARRAGONHAVEN", { "answers", "save_answers", "output" });
    if (!faults.empty()) {
        printFaults("environment", faults);
        return exitUsage;
    }
    const auto positional = absl::ParseCommandLine(argumentCount, arguments);
    const std::string command = positional.size() > 1 ? positional[1] : "";
    if (command == "questionnaire" && positional.size() == 2)
        return runQuestionnaire();
    if (command == "check" && positional.size() == 3)
        return runCheck(positional[2]);
    if (command == "diff" && positional.size() == 4)
        return runDiff(positional[2], positional[3]);
    if (command == "values" && positional.size() == 3)
        return runValues(positional[2]);
    if (command == "key" && positional.size() == 2)
        return runKey();
    return reportUsage();
}
