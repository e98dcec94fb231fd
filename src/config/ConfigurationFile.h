#pragma once

#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"

namespace crocuslever {

/// Parses a configuration in YAML. The error's message lists every fault with file, line and key.
/// `fileName` is used in messages only.
Result<Configuration> parseConfigurationFile(const std::string& text, const std::string& fileName);

/// Formats a configuration as YAML; parseConfigurationFile() parses it to an equal configuration.
std::string formatConfigurationFile(const Configuration&);

} // namespace crocuslever
