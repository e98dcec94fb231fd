#pragma once

#include <string>

#include "tools/crocusload/LoadRun.h"

namespace crocuslever::load {

/// For people.
std::string formatText(const LoadSettings&, const LoadResult&);
/// The same figures as JSON; times in milliseconds.
std::string formatJson(const LoadSettings&, const LoadResult&);
/// True if no result was wrong and no accepted job was lost.
bool isCorrect(const LoadResult&);

} // namespace crocuslever::load
