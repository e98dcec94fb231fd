#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Notes how an attempt on the upstream ended: a worker that fails what
/// succeeds elsewhere is quarantined, probed and let back slowly.
void noteOutcome(CoreState&, UpstreamRow&, const AttemptRow&, bool succeeded, TimePoint now, Actions&);

} // namespace crocuslever
