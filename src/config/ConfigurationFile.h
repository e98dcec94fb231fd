#pragma once

#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"

namespace crocuslever {

/// Parses the operators' YAML. The error's message names every fault by file, line and key.
Result<Configuration> parseConfigurationFile(const std::string& text, const std::string& fileName);

/// The same as YAML; parsing it gives the configuration back.
std::string formatConfigurationFile(const Configuration&);

} // namespace crocuslever
