#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Reads both clocks. Only the edges call this; decisions take the result.
Instant readClock();

/// The same, with a monotonic clock that goes on while the machine is suspended.
Instant readBootClock();

} // namespace crocuslever
