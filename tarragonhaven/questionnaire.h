#pragma once

#include "tarragonhaven/declaration.h"
#include "tarragonhaven/questionnaire_answers.h"
#include "util/error.h"

#include <iosfwd>
#include <string>

namespace tarragonhaven {

// Reads answers that were kept in a file, as JSON.
util::Checked<QuestionnaireAnswers> parseAnswers(const std::string& text);

// Asks the questions on `output` and reads the answers from `input`, a line each. Asks again after an answer
// that does not fit. Returns faults when the input ends early.
util::Checked<QuestionnaireAnswers> askAnswers(std::istream& input, std::ostream& output);

// Writes answers in the form that parseAnswers() reads.
std::string writeAnswers(const QuestionnaireAnswers& answers);

// Generates the declaration: an instance for each target, targets dealt out over the data centres in turn,
// and an ownership group for at most fifteen instances of a data centre.
Declaration generateDeclaration(const QuestionnaireAnswers& answers);

} // namespace tarragonhaven
