#pragma once

#include <string>
#include <vector>

#include "crocuslever/Configuration.h"

namespace crocuslever {

/// What a change does, a line for each field: "+ field: value" for one that
/// is new, "- field: value" for one that goes, "~ field: old -> new". Revisions
/// don't count, nor does an order that means nothing. Keys show by id.
std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace crocuslever
