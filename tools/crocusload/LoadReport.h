#pragma once

#include <string>

#include "tools/crocusload/LoadRun.h"

namespace crocuslever::load {

/// Formats the report as text; times in milliseconds.
std::string formatText(const LoadSettings&, const LoadResult&);
/// Formats the report as JSON; times in milliseconds.
std::string formatJson(const LoadSettings&, const LoadResult&);
/// True if no result was wrong and no accepted job was lost.
bool isCorrect(const LoadResult&);

} // namespace crocuslever::load
