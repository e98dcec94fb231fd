#pragma once

#include <string>

#include "crocuslever/Error.h"

namespace crocuslever {

/// Reads the whole file. NotFound if it can't be read.
Result<std::string> readTextFile(const std::string& path);

} // namespace crocuslever
