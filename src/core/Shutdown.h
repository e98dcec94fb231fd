#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// No new calls from here on; shards are handed over, what is in flight ends.
void beginShutdown(CoreState&, TimePoint now, Actions&);
/// Reports completion once nothing is in flight, or when the deadline has passed.
void runShutdown(CoreState&, TimePoint now, Actions&);

} // namespace crocuslever
