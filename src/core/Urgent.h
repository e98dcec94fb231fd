#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

// Entry side.

/// Picks an owner with room for a new or refused urgent call and passes it on;
/// answers the caller where none is left or the deadline has passed.
void routeUrgentCall(CoreState&, CallRow&, TimePoint now, Actions&);
void handleUrgentAnswer(CoreState&, const InstanceId& from, const UrgentAnswer&, TimePoint now, Actions&);
/// Times out and reroutes urgent calls in flight.
void runUrgentCalls(CoreState&, TimePoint now, Actions&);

// Owner side.

/// Places an urgent call on an own upstream and starts it, or refuses it.
void handleUrgentCall(CoreState&, const InstanceId& from, const UrgentCall&, TimePoint now, Actions&);
/// The start's answer: the whole result, a refusal, or doubt.
void handleUrgentStartResult(CoreState&, AttemptRow&, const UpstreamStartResult&, TimePoint now, Actions&);
/// The attempt is over: answers its caller, or starts it anew where that is
/// safe. `row` is gone afterwards.
void endUrgentAttempt(CoreState&, AttemptRow&, AttemptState, const TaskResult&, TimePoint now, Actions&);
/// Whether it ran can't be learnt in time: says so, and resolves it for itself.
void giveUpUrgent(CoreState&, AttemptRow&, RefusalReason, Actions&);

} // namespace crocuslever
