#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Begins a graceful shutdown: shards are released and calls in flight are completed. Repeated
/// calls have no effect.
void beginShutdown(CoreState&, TimePoint now, Actions&);
/// Revokes the lease once nothing is in flight or the deadline has passed, then reports completion.
void runShutdown(CoreState&, TimePoint now, Actions&);

} // namespace crocuslever
