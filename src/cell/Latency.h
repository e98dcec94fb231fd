#pragma once

#include <string>

#include "crocuslever/Counters.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// Adds one observation to the histogram `name`, which consists of cumulative
/// counts by upper bound in seconds ("name_bucket{le=...}"), the number of
/// observations ("name_count") and their sum in ms ("name_sum_ms").
void observeLatency(Counters&, const std::string& name, Duration);

} // namespace crocuslever::cell
