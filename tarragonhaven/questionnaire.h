#pragma once

#include "tarragonhaven/declaration.h"
#include "tarragonhaven/questionnaire_answers.h"
#include "util/error.h"

#include <iosfwd>
#include <string>

namespace tarragonhaven {

// The questionnaire from which a new team generates the declaration of its fleet. Answers are asked for
// interactively or read from a file.

// Parses answers from JSON. On failure, returns every fault with its path.
util::Checked<QuestionnaireAnswers> parseAnswers(const std::string& text);

// Writes the questions to `output` and reads the answers from `input`, one line each. Repeats a question
// until its answer is valid. Fails if the input ends before the last answer.
util::Checked<QuestionnaireAnswers> askAnswers(std::istream& input, std::ostream& output);

// Returns the answers as JSON that parseAnswers() reads.
std::string writeAnswers(const QuestionnaireAnswers& answers);

// Generates a declaration with one instance per target. Targets are assigned to the data centres round-robin.
// The instances of a data centre are divided into ownership groups of at most fifteen instances. Ranges of
// the answers are checked by the functions above; names and references must be checked afterwards, by parsing
// the declaration.
Declaration generateDeclaration(const QuestionnaireAnswers& answers);

} // namespace tarragonhaven
