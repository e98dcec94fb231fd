#pragma once

#include <string>

#include "crocuslever/Counters.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// Adds one observation to the histogram `name`: cumulative counts by upper
/// bound in seconds ("name_bucket{le=...}"), their number and their sum in ms.
void observeLatency(Counters&, const std::string& name, Duration);

} // namespace crocuslever::cell
