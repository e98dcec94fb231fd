#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Reads the monotonic clock (CLOCK_MONOTONIC) and the wall clock. Only daemons and network clients
/// call this; the core takes the time as a parameter.
Instant readClock();

/// Reads the wall clock and CLOCK_BOOTTIME, a monotonic clock that also advances while the machine
/// is suspended.
Instant readBootClock();

} // namespace crocuslever
