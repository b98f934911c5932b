// Declarations: from a questionnaire to the values that are published. See docs/CONFIGURATION.md.

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

ABSL_FLAG(std::string, answers, "", "questionnaire: a file with answers; without it they are asked for.");
ABSL_FLAG(std::string, save_answers, "", "questionnaire: where to keep the answers that were given.");
ABSL_FLAG(std::string, output, "",
    "questionnaire, values: the file or directory to write; standard output if empty.");

namespace {

using tarragonhaven::Declaration;

constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr const char* usage
    = "Works on a fleet's declaration, a JSON file that is kept in version control.\n\n"
      "  tarragonhaven_config questionnaire [--answers=FILE] [--output=FILE]  generates a declaration\n"
      "  tarragonhaven_config check FILE                accepts it, or names every fault\n"
      "  tarragonhaven_config diff BEFORE AFTER         says what a change would do, and whether it is "
      "allowed\n"
      "  tarragonhaven_config values FILE --output=DIR  writes the values to publish, a file each\n"
      "  tarragonhaven_config key                       makes a key; its digest goes into the declaration\n\n"
      "Each flag may be set by an environment variable, as in TARRAGONHAVEN_OUTPUT; the flag wins.\n"
      "Exit codes: 0 accepted, 1 refused, 2 wrong use.";

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

void report(const std::string& file, const util::Faults& faults)
{
    for (const auto& fault : faults)
        std::fprintf(stderr, "%s: %s: %s\n", file.c_str(),
            fault.path.empty() ? "document" : fault.path.c_str(), fault.reason.c_str());
}

std::optional<Declaration> load(const std::string& path)
{
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
        return std::nullopt;
    }
    auto declaration = tarragonhaven::parseDeclaration(*text);
    if (!declaration) {
        report(path, declaration.error());
        return std::nullopt;
    }
    return std::move(*declaration);
}

int check(const std::string& path)
{
    const auto declaration = load(path);
    if (!declaration)
        return exitRefused;
    std::printf("%s: accepted: %zu services, %zu instances, %zu routes, %zu organisations\n", path.c_str(),
        declaration->index.services.size(), declaration->index.instances.size(),
        declaration->index.routes.size(), declaration->organisations.size());
    return 0;
}

int diff(const std::string& beforePath, const std::string& afterPath)
{
    const auto before = load(beforePath);
    const auto after = load(afterPath);
    if (!before || !after)
        return exitRefused;
    for (const auto& sentence : tarragonhaven::describeChange(*before, *after))
        std::printf("%s\n", sentence.c_str());
    const auto faults = tarragonhaven::checkTransition(before->index, after->index);
    report(afterPath, faults);
    return faults.empty() ? 0 : exitRefused;
}

int writeValues(const std::string& path)
{
    const auto declaration = load(path);
    if (!declaration)
        return exitRefused;
    const std::filesystem::path directory(absl::GetFlag(FLAGS_output));
    if (directory.empty()) {
        std::fputs("values: --output names the directory to write to\n", stderr);
        return exitUsage;
    }
    std::filesystem::create_directories(directory);
    for (const auto& [name, text] : tarragonhaven::publishedValues(*declaration)) {
        if (!writeFile(directory / name, text)) {
            std::fprintf(stderr, "%s: cannot be written\n", (directory / name).c_str());
            return exitRefused;
        }
    }
    return 0;
}

int makeKey()
{
    const auto key = std::string(tarragonhaven::keyPrefix)
        + util::randomHex(static_cast<int>(tarragonhaven::keyDigits) / 2);
    std::printf("key    %s\nsha256 %s\n", key.c_str(), util::sha256Hex(key).c_str());
    return 0;
}

util::Checked<tarragonhaven::QuestionnaireAnswers> collectAnswers()
{
    const auto path = absl::GetFlag(FLAGS_answers);
    if (path.empty())
        return tarragonhaven::askAnswers(std::cin, std::cerr);
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(util::Faults { { path, "cannot be read" } });
    return tarragonhaven::parseAnswers(*text);
}

int questionnaire()
{
    const auto answers = collectAnswers();
    if (!answers) {
        report("answers", answers.error());
        return exitRefused;
    }
    const auto kept = absl::GetFlag(FLAGS_save_answers);
    if (!kept.empty() && !writeFile(kept, tarragonhaven::writeAnswers(*answers)))
        return exitRefused;
    const auto text = tarragonhaven::writeDeclaration(tarragonhaven::generateDeclaration(*answers));
    const auto declaration = tarragonhaven::parseDeclaration(text);
    if (!declaration) {
        report("generated declaration", declaration.error());
        return exitRefused;
    }
    const auto output = absl::GetFlag(FLAGS_output);
    if (output.empty())
        std::fputs(text.c_str(), stdout);
    else if (!writeFile(output, text))
        return exitRefused;
    return 0;
}

int wrongUse()
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
        report("environment", faults);
        return exitUsage;
    }
    const auto words = absl::ParseCommandLine(argumentCount, arguments);
    const std::string command = words.size() > 1 ? words[1] : "";
    if (command == "questionnaire" && words.size() == 2)
        return questionnaire();
    if (command == "check" && words.size() == 3)
        return check(words[2]);
    if (command == "diff" && words.size() == 4)
        return diff(words[2], words[3]);
    if (command == "values" && words.size() == 3)
        return writeValues(words[2]);
    if (command == "key" && words.size() == 2)
        return makeKey();
    return wrongUse();
}
