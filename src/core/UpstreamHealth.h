#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Records the result of an attempt on the upstream. An upstream that fails tasks while others
/// succeed is quarantined until a probe succeeds, and then gets one attempt at a time at first.
void recordOutcome(CoreState&, UpstreamRow&, const AttemptRow&, bool succeeded, TimePoint now, Actions&);

} // namespace crocuslever
