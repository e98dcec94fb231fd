#pragma once

#include <string>

#include "crocuslever/Error.h"

namespace crocuslever {

/// The whole file.
Result<std::string> readTextFile(const std::string& path);

} // namespace crocuslever
