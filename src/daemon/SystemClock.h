#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Reads both clocks. Only the edges call this; decisions take the result.
Instant readClock();

} // namespace crocuslever
