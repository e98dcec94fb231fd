#pragma once

#include "crocuslever/Counters.h"

namespace crocuslever {

/// Sets the gauges "process_...": CPU time, peak and current resident memory of this process.
void setProcessGauges(Counters&);

} // namespace crocuslever
