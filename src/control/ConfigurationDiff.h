#pragma once

#include <string>
#include <vector>

#include "crocuslever/Configuration.h"

namespace crocuslever {

/// Describes a change with one line per field: "+ field: value" for an added field, "- field: value"
/// for a removed one, "~ field: old -> new" for a changed one. Empty if nothing changed. Ignores the
/// revision and the order of lists, except that of exceptions. Keys show their id and the first
/// digits of their hash.
std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace crocuslever
