#pragma once

#include "crocuslever/Counters.h"

namespace crocuslever {

/// What this process has taken of the machine, as gauges named "process_...".
void setProcessGauges(Counters&);

} // namespace crocuslever
